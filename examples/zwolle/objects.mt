create class urgent rank=0 floor_share=0.0 deadline_ms=3000
create class patient rank=1 floor_share=0.2 deadline_ms=60000
create model note-writer weights_version=v1
create account ijssel key_hashes=95fbf9c5814820f2c114adfd180d96e0260a38a8f9889f66c9a2647ca4d67d1f weight=4 max_concurrent=128 tokens_per_second=60000 requests_per_second=100
create account vecht key_hashes=d63e84d4012904505cfb0c6405ab35445b78f841709baee47e5a0db7e94d3b3a weight=4 max_concurrent=128 tokens_per_second=60000 requests_per_second=100
create account assendorp key_hashes=1ccaa1bcfa93184b416f0383867b3ad93c0c73362bea9402fd80bd6e5391954d weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account berkum key_hashes=e49354511b90a106a057666400f3fd4ac55609b9024aaddbe80e032af8f7cf1b weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account diezerpoort key_hashes=7903fe69ec7ce9bc7fc660120649872bbe8d6ab1e7f54ffd70d6414e7573ea0b weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account holtenbroek key_hashes=c7490c042a32898ece1b85fb71701a13db80c5b80b25d13832bddf3422274013 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account ittersum key_hashes=f484bf5314bd77fa1a5d2b418f55ca91240a2bf07bbd486e30ccb2fcc3f6b651 weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create account stadshagen key_hashes=ee9e6fad8b0b8a9497911565db5b6d07da368079aa669e27d141ef658188cb4e weight=1 max_concurrent=32 tokens_per_second=15000 requests_per_second=25
create endpoint engine-1 kind=engine address=127.0.0.1:18151 zone=zwolle-a serves=note-writer checks_fencing=false
create endpoint engine-2 kind=engine address=127.0.0.1:18152 zone=zwolle-b serves=note-writer checks_fencing=false
create endpoint engine-3 kind=engine address=127.0.0.1:18153 zone=zwolle-c serves=note-writer checks_fencing=false
create endpoint engine-4 kind=engine address=127.0.0.1:18154 zone=zwolle-a serves=note-writer checks_fencing=false
create endpoint engine-5 kind=engine address=127.0.0.1:18155 zone=zwolle-b serves=note-writer checks_fencing=false
create endpoint engine-6 kind=engine address=127.0.0.1:18156 zone=zwolle-c serves=note-writer checks_fencing=false
create endpoint engine-7 kind=engine address=127.0.0.1:18157 zone=zwolle-a serves=note-writer checks_fencing=false
create endpoint engine-8 kind=engine address=127.0.0.1:18158 zone=zwolle-b serves=note-writer checks_fencing=false
create endpoint engine-9 kind=engine address=127.0.0.1:18159 zone=zwolle-c serves=note-writer checks_fencing=false
create endpoint counter-1 kind=service address=127.0.0.1:18171 zone=zwolle-a serves=counter checks_fencing=false
create endpoint counter-2 kind=service address=127.0.0.1:18172 zone=zwolle-b serves=counter checks_fencing=false
create endpoint counter-3 kind=service address=127.0.0.1:18173 zone=zwolle-c serves=counter checks_fencing=false
