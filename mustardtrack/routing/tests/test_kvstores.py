"""Guards against transfers between zones that a store in each zone avoids.

Load pattern: long prompts whose shared prefix is requested in three zones, each with a
store, by engines that have lost it.
"""

from mustardtrack.configuration.routes import Service
from mustardtrack.routing.enginestate import TransferLink
from mustardtrack.routing.kvstores import MAX_SAVE_WAIT_MS, KvStores
from mustardtrack.routing.transfers import choose_source

PREFIX = [(("salt", "p"), 13_000)]
PARTS = [*PREFIX, (("salt", "own"), 3_000)]
KV_BYTES = 160_000


def store(zone, capacity=1_000_000, link_mbps=400_000.0):
    return Service(
        name=f"store-{zone}",
        max_connections=100,
        kv_store_address=f"10.0.0.{ord(zone)}:1",
        kv_store_zone=zone,
        kv_store_tokens=capacity,
        kv_store_link_mbps=link_mbps,
    )


STORES = [store(zone) for zone in "abc"]


def save(stores, zone, parts=PARTS, now_ms=0):
    address = stores.plan_save(STORES, parts, KV_BYTES, zone, now_ms)
    stores.end_saves([key for key, _ in parts])
    return address


def sources(stores, zone, usable=STORES, now_ms=10_000):
    link = TransferLink()
    return stores.find_sources(usable, PREFIX, 0, KV_BYTES, zone, link, now_ms)


def test_engine_saves_to_the_store_of_its_zone():
    for zone in "abc":
        assert save(KvStores(), zone) == store(zone).kv_store_address


def test_engine_fetches_from_the_store_of_its_zone():
    """Guards against a fetch from the first store of the document."""
    stores = KvStores()
    for one in STORES:
        stores.apply_events(one.kv_store_address, [("salt", "p", 13_000)])
    for zone in "abc":
        found = choose_source(sources(stores, zone))
        assert found.address == store(zone).kv_store_address
        assert found.is_same_zone


def test_prefix_of_another_zone_is_copied_when_it_is_requested_again():
    """Guards against copies that are never read, and against fetches without end."""
    stores = KvStores()
    save(stores, "a")
    assert choose_source(sources(stores, "b")).address == STORES[0].kv_store_address
    assert save(stores, "b", now_ms=5000) == ""
    assert save(stores, "b", now_ms=5000) == STORES[1].kv_store_address
    assert choose_source(sources(stores, "b")).address == STORES[1].kv_store_address


def test_other_stores_serve_while_that_of_the_zone_cannot_be_reached():
    """Guards against prefill of everything when one of the stores fails."""
    stores = KvStores()
    save(stores, "a")
    left = [one for one in STORES if one.kv_store_zone != "b"]
    assert choose_source(sources(stores, "b", left)).address == "10.0.0.97:1"
    assert stores.find_backup(left, PREFIX, "b") == "10.0.0.97:1"
    assert stores.plan_save(left, [(("s", "q"), 2000)] * 2, 1, "b", 0) != ""
    assert stores.plan_save([], PARTS, KV_BYTES, "b", 0) == ""


def test_store_that_restarted_is_no_source_and_others_are():
    stores = KvStores()
    for one in STORES:
        stores.apply_events(one.kv_store_address, [("salt", "p", 13_000)])
    stores.clear(STORES[0].kv_store_address)
    assert choose_source(sources(stores, "a")).address != STORES[0].kv_store_address


def test_pending_saves_are_no_source_yet():
    stores = KvStores()
    stores.plan_save(STORES, PARTS, KV_BYTES, "a", 0)
    assert sources(stores, "a") == []


def test_content_stays_within_the_capacity_and_saves_within_the_link():
    """Guards against an estimate that grows with every prefix ever saved."""
    stores, usable = KvStores(), [store("a", 50_000, link_mbps=1000.0)]
    for number in range(20):
        parts = [(("s", f"p{number}"), 13_000), (("s", "own"), 1)]
        now_ms = number * 60_000
        stores.plan_save(usable, parts, KV_BYTES, "a", now_ms)
    held = stores.contents(usable[0].kv_store_address)
    assert sum(held.values()) <= 50_000
    assert ("s", "p19") in held and ("s", "p0") not in held
    late = [(("s", "late"), 13_000), (("s", "own"), 1)]
    # The last save occupies the link for longer than a save may wait.
    assert 13_000 * KV_BYTES * 8 / 1e6 > MAX_SAVE_WAIT_MS
    assert stores.plan_save(usable, late, KV_BYTES, "a", 19 * 60_000 + 1) == ""


def test_bytes_between_zones_are_counted():
    stores = KvStores()
    save(stores, "a")
    stores.record_fetch(choose_source(sources(stores, "a")), has_other_zone=True)
    stores.record_fetch(choose_source(sources(stores, "b")), has_other_zone=True)
    assert stores.avoided_bytes == stores.crossed_bytes == 13_000 * KV_BYTES
