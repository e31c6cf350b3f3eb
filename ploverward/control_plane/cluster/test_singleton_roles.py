"""Digests of a zone: their number, owners and assigned proxies while proxies join and leave."""

import random

import pytest

from ploverward.control_plane.cluster import singleton_roles


class RoleRegister:
    """The register of singleton roles as the coordinator changes it."""

    def __init__(self):
        self.table = {}

    def find_role(self, name):
        return self.table.get(name, (0, "", ""))

    def reconcile(self, proxy_rows):
        rows = singleton_roles.role_changes(proxies=proxy_rows, find_role=self.find_role)
        for name, (epoch, owner, incarnation) in rows.items():
            assert epoch == self.find_role(name)[0]
            self.table[name] = (epoch + 1, owner, incarnation)
        return rows

    def owners(self, zone="za"):
        return {
            name: owner
            for name, (_epoch, owner, _incarnation) in self.table.items()
            if owner and singleton_roles.is_digest_of(name=name, zone=zone)
        }


def proxy_rows(count, *, zone="za"):
    return [(f"10.0.{number // 200}.{number % 200 + 10}", f"l{number}", zone, "north") for number in range(count)]


@pytest.mark.parametrize("count, digests", [(3, 0), (4, 1), (14, 1), (15, 2), (33, 3), (50, 4), (120, 9)])
def test_number_of_digests_follows_number_of_proxies(count, digests):
    register = RoleRegister()
    register.reconcile(proxy_rows(count))
    owners = register.owners()
    assert len(owners) == len(set(owners.values())) == digests
    assert register.reconcile(proxy_rows(count)) == {}  # a second call changes nothing
    if digests:
        assert singleton_roles.digest_name(zone="za") == "digest/za" and "digest/za" in owners


def test_proxies_are_spread_over_digests_and_added_digest_takes_over_few():
    addresses = [address for address, *_rest in proxy_rows(150)]
    names = [singleton_roles.digest_name(zone="za", number=number) for number in range(10)]
    before = {address: singleton_roles.digest_for(names=names, address=address) for address in addresses}
    sizes = [sum(1 for name in before.values() if name == one) for one in names]
    assert min(sizes) > 0 and max(sizes) <= 30
    more = [*names, singleton_roles.digest_name(zone="za", number=10)]
    after = {address: singleton_roles.digest_for(names=more, address=address) for address in addresses}
    moved = [address for address in addresses if before[address] != after[address]]
    assert 0 < len(moved) < 45 and all(after[address] == more[-1] for address in moved)


def test_lost_digest_owner_is_replaced_by_proxy_without_digest():
    register = RoleRegister()
    proxies = proxy_rows(40)
    register.reconcile(proxies)
    lost_owner = register.owners()["digest/za/1"]
    remaining = [row for row in proxies if row[0] != lost_owner]
    rows = register.reconcile(remaining)
    assert list(rows) == ["digest/za/1"] and len(set(register.owners().values())) == 3
    with_restarted_owner = [
        (address, "another incarnation" if address == register.owners()["digest/za"] else incarnation, zone, region)
        for address, incarnation, zone, region in remaining
    ]
    # A new incarnation counts as another owner, so the role gets a new owner under the next epoch.
    assert list(register.reconcile(with_restarted_owner)) == ["digest/za"]


@pytest.mark.parametrize("seed", range(20))
def test_every_digest_has_live_owner_while_proxies_join_and_leave(seed):
    rng = random.Random(seed)
    register = RoleRegister()
    all_proxies = proxy_rows(90)
    live = all_proxies[:40]
    changes = 0
    for _ in range(60):
        size = min(90, max(4, len(live) + rng.randint(-12, 12)))
        live = rng.sample(all_proxies, size)
        register.reconcile(live)
        changes += len(register.reconcile(live))  # a second call must change nothing
        addresses = {address for address, *_rest in live}
        owners = register.owners()
        assert set(owners.values()) <= addresses
        assert len(owners) >= -(-len(live) // singleton_roles.PROXIES_PER_DIGEST)
        assert len(set(owners.values())) == len(owners) or len(live) < len(owners) * 2
    assert changes == 0


def test_digests_are_kept_when_zone_shrinks_a_little_and_removed_when_it_shrinks_more():
    register = RoleRegister()
    register.reconcile(proxy_rows(30))
    assert len(register.owners()) == 3
    owners = set(register.owners().values())
    slightly_fewer = [row for row in proxy_rows(30) if row[0] in owners] + [
        row for row in proxy_rows(30) if row[0] not in owners
    ][:22]
    assert register.reconcile(slightly_fewer) == {}
    far_fewer = slightly_fewer[:8]
    register.reconcile(far_fewer)
    assert len(register.owners()) == 1
    assert register.find_role("digest/za/2")[0] == 2  # a removed digest gets a new epoch too
