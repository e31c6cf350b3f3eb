"""The register of singleton roles: each change of owner increments the epoch of the role."""

from ploverward.control_plane.cluster import singleton_role_table


def acquire(payload, rows):
    """Returns the name of the changed register, and its payload after these roles have been acquired."""
    changes = []
    table = singleton_role_table.SingletonRoleTable(
        change=lambda *, name, edit, done: changes.append((name, edit(payload)[0]))
    )
    table.acquire(rows=rows)
    assert table.is_acquiring
    return changes[0]


def test_acquired_role_gets_next_epoch():
    assert acquire(None, {"watch": (0, "a", "l1")}) == ("duty", {"watch": [1, "a", "l1"]})
    assert acquire({"watch": [4, "a", "l1"]}, {"watch": (4, "a", "l2")}) == ("duty", {"watch": [5, "a", "l2"]})


def test_second_acquisition_of_same_epoch_changes_nothing():
    first = acquire({"watch": [4, "a", "l1"]}, {"watch": (4, "b", "l2")})[1]
    assert acquire(first, {"watch": (4, "c", "l3")})[1] is first


def test_several_roles_are_acquired_in_one_change():
    payload = {"watch": [1, "a", "l"], "relay/north": [3, "p", "l"]}
    rows = {"relay/north": (3, "q", "m"), "relay/south": (0, "r", "n")}
    assert acquire(payload, rows)[1] == {
        "watch": [1, "a", "l"],
        "relay/north": [4, "q", "m"],
        "relay/south": [1, "r", "n"],
    }
