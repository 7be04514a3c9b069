"""Steps of tests/pools/ownership.feature.

A when step runs the scenario on a virtual clock and keeps the group.
"""

import asyncio

import behave

from chervillead import verdicts
from stand_ins import scripted_group
from stand_ins import virtual_time

# Longer than a host of half a core takes to change its role either way.
ROLE_CHANGE_S = 3.0


def run(context, script):
    async def main():
        group = scripted_group.ScriptedGroup(cores=0.5)
        following = asyncio.create_task(group.ownership.maintain_membership())
        await asyncio.sleep(ROLE_CHANGE_S if context.is_owner else 0.1)
        assert group.is_member is context.is_owner
        await script(group)
        context.owned = dict(group.ownership.owners)
        following.cancel()
        await group.ownership.leave()
        return group

    context.group = virtual_time.run_virtual(main(), context.seed)


@behave.given("a host of half a core that owns a partition")
def step(context):
    context.is_owner = True


@behave.given("a host of half a core that stands by")
def step(context):
    context.is_owner = False


@behave.when("larger owners are listed and the store answers no call {about}")
def step(context, about):
    async def lose_leaves(group):
        group.is_leave_failing = True
        group.list_larger_owners()
        await asyncio.sleep(ROLE_CHANGE_S)

    context.first_part = lose_leaves


@behave.when("larger owners are gone again before the store answers")
def step(context):
    async def bring_back(group):
        await context.first_part(group)
        group.owners = set()
        await asyncio.sleep(ROLE_CHANGE_S)
        group.is_leave_failing = False
        await asyncio.sleep(ROLE_CHANGE_S)
        assert group.is_member
        context.calls = list(group.calls)

    run(context, bring_back)


@behave.when("larger owners are listed for 3 s")
def step(context):
    async def list_larger(group):
        group.list_larger_owners()
        await asyncio.sleep(ROLE_CHANGE_S)
        context.was_member = group.is_member

    run(context, list_larger)


@behave.when("it is stopped while a join is under way")
def step(context):
    async def stop(group):
        group.join_s = 0.6
        # At any moment from now on the next join is under way.
        await asyncio.sleep(0.55)
        await group.ownership.leave()
        await asyncio.sleep(1.0)
        context.was_member = group.is_member

    run(context, stop)


@behave.when("it is stopped")
def step(context):
    async def stop(group):
        await group.ownership.leave()

    run(context, stop)


@behave.then("the host left the group before it joined again")
def step(context):
    assert context.calls == ["join", "leave", "join"], context.calls


@behave.then("it never owned the partition twice with the same token")
def step(context):
    tokens = context.group.tokens
    assert tokens and len(tokens) == len(set(tokens)), tokens


@behave.then("the host owns nothing and isn't a member")
def step(context):
    assert not context.was_member
    assert not context.owned, context.owned


@behave.then("the store got no call about leaving")
def step(context):
    assert not context.group.attempted_leaves


FAILURES = {
    "are rejected": verdicts.Verdict.NOT_RUN,
    "get no reply": verdicts.Verdict.MAY_HAVE_RUN,
}


@behave.when("the group changes while renewals {fail} for {seconds:d} s")
def step(context, fail, seconds):
    context.failing = fail, seconds


@behave.when("meanwhile another host {has} opened the partition")
def step(context, has):
    def change(group):
        if has == "has":
            group.open_elsewhere()
        group.change()

    fail_renewals_while(context, *context.failing, change)


@behave.when("the group is unchanged while renewals {fail} for {seconds:d} s")
def step(context, fail, seconds):
    fail_renewals_while(context, fail, seconds, lambda group: None)


def fail_renewals_while(context, fail, seconds, change):
    async def fail_renewals(group):
        if seconds:
            group.join_failure = FAILURES[fail]
        change(group)
        await asyncio.sleep(seconds)
        group.join_failure = None
        await asyncio.sleep(ROLE_CHANGE_S)
        context.is_confirmed = group.ownership.is_confirmed()

    run(context, fail_renewals)


@behave.then("the host kept the partition")
def step(context):
    assert context.is_confirmed and len(context.owned) == 1
    assert len(context.group.tokens) == 1, context.group.tokens


@behave.then("the host took the partition anew")
def step(context):
    first, second = context.group.tokens
    assert context.is_confirmed and first < second, context.group.tokens
