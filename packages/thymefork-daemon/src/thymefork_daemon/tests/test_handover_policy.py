"""Tests of the handover policy with overloaded owners and one possible next owner.

All owners are overloaded at once and see the same statuses, but only one may leave for
it.
"""

import pytest
from attrs import evolve

from thymefork_daemon.capacity import (
    HandoverPolicy,
    LocalStatus,
    MemberStatus,
    OwnerLoad,
    Tier,
)

STEP_MS = 100
# A heartbeat, and the takeover of the cell by its next owner.
OWNERSHIP_REPORT_DELAY_MS = 1_000


def status(address, *, cell=None, load_percent=0, received_ms):
    return MemberStatus(
        address=address,
        tier=Tier.FULL,
        best_tier=Tier.FULL,
        load_percent=load_percent,
        in_group=True,
        can_own=True,
        owned=frozenset() if cell is None else frozenset({cell}),
        join_ms=6.0,
        received_ms=received_ms,
        healthy_since_ms=0.0,
    )


def local_status(cell, *, value, cells=2):
    load = OwnerLoad(link_mbps=0.0)
    load.value, load.is_overloaded = value, True
    return LocalStatus(
        cells=cells,
        owned=frozenset({cell}),
        may_hand_over=True,
        serves=True,
        load=load,
    )


def leave_times(loads):
    """Return when each of two owners leaves; each sees the other's last heartbeat."""
    policies = [HandoverPolicy(tier=Tier.FULL, address=name) for name in "ab"]
    left_ms = [None, None]
    for now_ms in range(0, 10_000, STEP_MS):
        heartbeat_ms = float(now_ms // 200 * 200)
        for n, policy in enumerate(policies):
            other = 1 - n
            other_left = left_ms[other] is not None and left_ms[other] < heartbeat_ms
            statuses = [
                status("c", received_ms=heartbeat_ms),  # its takeover never ends
                status(
                    "ab"[other],
                    cell=None if other_left else other,
                    load_percent=0 if other_left else round(100 * loads[other]),
                    received_ms=heartbeat_ms,
                ),
            ]
            local = local_status(n, value=loads[n])
            if left_ms[n] is None and policy.reason(
                float(now_ms), local=local, statuses=statuses
            ):
                left_ms[n] = now_ms
    return left_ms


@pytest.mark.parametrize(
    "loads, first", [((1.5, 1.5), 0), ((1.2, 1.5), 1), ((1.5, 1.2), 0)]
)
def test_only_one_of_two_overloaded_owners_leaves(loads, first):
    left_ms = leave_times(loads)
    assert left_ms[first] is not None
    assert left_ms[1 - first] is None


def eventual_reason(local, statuses_at):
    policy = HandoverPolicy(tier=Tier.FULL, address="a")
    for now_ms in range(0, 10_000, STEP_MS):
        reason = policy.reason(float(now_ms), local=local, statuses=statuses_at(now_ms))
        if reason is not None:
            return reason
    return None


def test_owner_stays_while_another_cell_has_no_owner():
    local = local_status(0, value=1.5)
    assert eventual_reason(local, lambda now: [status("c", received_ms=now)]) is None


def test_overloaded_owner_leaves_for_member_without_cells():
    local = local_status(0, value=1.5)
    assert (
        eventual_reason(
            local,
            lambda now: [
                status("b", cell=1, load_percent=40, received_ms=now),
                status("c", received_ms=now),
            ],
        )
        == "overload"
    )


def test_regained_cell_is_kept_for_minimum_time():
    """State from before the handover must not count."""
    policy = HandoverPolicy(tier=Tier.FULL, address="a")
    local = local_status(0, value=1.5, cells=1)
    now_ms = 0.0
    while (
        policy.reason(now_ms, local=local, statuses=[status("b", received_ms=now_ms)])
        is None
    ):
        now_ms += STEP_MS
    policy.on_left(now_ms)
    regained_ms = now_ms = policy.cooldown_until_ms + STEP_MS
    while (
        policy.reason(now_ms, local=local, statuses=[status("b", received_ms=now_ms)])
        is None
    ):
        now_ms += STEP_MS
    assert now_ms - regained_ms >= 5_000.0


def handovers_of_overloaded_cell(for_ms, *, tiers):
    """Return how often instances hand a cell over that overloads each of them."""
    policies = [
        HandoverPolicy(tier=tier, address=name)
        for tier, name in zip(tiers, "abc", strict=True)
    ]
    owner, count, taken_ms = 0, 0, 0.0
    for now_ms in range(0, for_ms, STEP_MS):
        has_taken_over = now_ms - taken_ms > OWNERSHIP_REPORT_DELAY_MS
        statuses = [
            evolve(
                status("abc"[n], received_ms=float(now_ms)),
                tier=tiers[n],
                best_tier=max(tiers),
                owned=frozenset({0}) if n == owner else frozenset(),
                load_percent=150 if n == owner and has_taken_over else 0,
            )
            for n in range(3)
        ]
        for n, policy in enumerate(policies):
            policy.observe(float(now_ms), statuses[:n] + statuses[n + 1 :])
        others = statuses[:owner] + statuses[owner + 1 :]
        local = local_status(0, value=1.5, cells=1)
        if has_taken_over and policies[owner].reason(
            float(now_ms), local=local, statuses=others
        ):
            policies[owner].on_left(float(now_ms))
            owner, count, taken_ms = (owner + 1) % 3, count + 1, now_ms
    return count


# A cell that overloads any owner was handed over every few seconds between equals.
def test_cell_that_overloads_every_owner_is_handed_over_once():
    assert handovers_of_overloaded_cell(100_000, tiers=[Tier.FULL] * 3) == 1


def test_overloaded_cell_still_moves_to_a_better_tier():
    tiers = [Tier.LEAST, Tier.LEAST, Tier.FULL]
    assert handovers_of_overloaded_cell(100_000, tiers=tiers) >= 2
