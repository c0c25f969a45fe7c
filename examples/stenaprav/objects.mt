create class urgent rank=0 floor_share=0.0 deadline_ms=5000
create class patient rank=1 floor_share=0.2 deadline_ms=120000
create model quote-writer weights_version=v1
create account vitosha key_hashes=433234acc2b69f5254f1c9622f24f95e44f7a9c9b1fdae643111f92b34064d24 weight=4 max_concurrent=128 tokens_per_second=60000 requests_per_second=100
create account iskar key_hashes=49a9ea318c59f446803c65255f207cc4d9daec05396f4f514fc8c2e2fc874e00 weight=4 max_concurrent=128 tokens_per_second=60000 requests_per_second=100
create account boyana key_hashes=b674ce30c967c172c58d99d0905d1014583ca78429d5ed56ad3b0d594723a2f4 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account lozen key_hashes=305dad94e4258798341e10cea3b564fa4c236a2de6ff40f8d759ab0b25f40491 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account mladost key_hashes=9a472b8a39fedd73467296779562836bc940d77b3f0ac29405d56b486fd690b0 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account nadezhda key_hashes=9acd8507aef85036cb3cbea8c7c831eccb7df92d65c4c8e4b0b033b8e1465397 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account pancharevo key_hashes=74eeb6811f76d01593dd9c85bed387c118a2d5b7146e76b367ae84f4cbf21c93 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account simeon key_hashes=2a55686063e224ff007c2845b0094679f9267d0b73edc4c54155dc862a545305 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create endpoint engine-1 kind=engine address=127.0.0.1:17151 zone=sofia-a serves=quote-writer checks_fencing=true
create endpoint engine-2 kind=engine address=127.0.0.1:17152 zone=sofia-b serves=quote-writer checks_fencing=true
create endpoint engine-3 kind=engine address=127.0.0.1:17153 zone=sofia-c serves=quote-writer checks_fencing=true
create endpoint engine-4 kind=engine address=127.0.0.1:17154 zone=sofia-a serves=quote-writer checks_fencing=true
create endpoint engine-5 kind=engine address=127.0.0.1:17155 zone=sofia-b serves=quote-writer checks_fencing=true
create endpoint hire-1 kind=service address=127.0.0.1:17171 zone=sofia-a serves=hire checks_fencing=true
create endpoint hire-2 kind=service address=127.0.0.1:17172 zone=sofia-b serves=hire checks_fencing=true
create endpoint hire-3 kind=service address=127.0.0.1:17173 zone=sofia-c serves=hire checks_fencing=true
