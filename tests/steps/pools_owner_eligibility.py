"""Steps of tests/pools/owner_eligibility.feature."""

import behave

from chervillead import types
from chervillead.pools import group_members
from chervillead.pools import owner_eligibility

PARTITIONS = 24
OWN_ADDRESS = types.Address("10.9.0.1", 7000)
ROLES = {
    "an owner": owner_eligibility.Role.OWNER,
    "a standby": owner_eligibility.Role.STANDBY,
}
# What the list of owners shows, by its name in a scenario.
LISTS = {"none": (), "large": (2.0, 2.0), "old": None}


def parse_cores(text):
    return None if text == "unknown" else float(text)


def candidates(capacities):
    return {
        owner_eligibility.Candidate(types.Address(f"10.1.0.{n}", 7000), cores)
        for n, cores in enumerate(capacities)
    }


def compare(context, capacities):
    own = owner_eligibility.Candidate(OWN_ADDRESS, context.cores)
    return owner_eligibility.compare(own, candidates(capacities))


@behave.given("a host of {cores} cores that is {role}")
def step(context, cores, role):
    context.cores, context.role = parse_cores(cores), ROLES[role]


@behave.given("a host of {cores} cores that starts")
def step(context, cores):
    context.role = owner_eligibility.initial_state(parse_cores(cores)).role


@behave.when("owners of {listed} cores are listed")
def step(context, listed):
    capacities = [] if listed == "none" else listed.split(", ")
    context.standing = compare(context, map(parse_cores, capacities))


@behave.when("{count:d} owners of {cores:f} cores share 24 partitions")
def step(context, count, cores):
    context.standing = compare(context, [cores] * count)


@behave.when("the list of owners is, at intervals of 0.5 s, {lists}")
def step(context, lists):
    state = owner_eligibility.RoleState(context.role)
    for look, name in enumerate(lists.split(", ")):
        capacities = LISTS[name]
        state = owner_eligibility.next_state(
            state,
            None if capacities is None else compare(context, capacities),
            0.5 * look,
            partitions=PARTITIONS,
        )
    context.role = state.role


@behave.when("the store lists the member {text}")
def step(context, text):
    context.member = group_members.parse_member(text)


@behave.then("the host should be {role}")
def step(context, role):
    preferred = owner_eligibility.preferred_role(
        context.role, context.standing, PARTITIONS
    )
    assert preferred is ROLES[role], context.standing


@behave.then("its role is {role}")
@behave.then("the role in the end is {role}")
def step(context, role):
    assert context.role is ROLES[role], context.role


@behave.then("its address is known and its capacity is {cores}")
def step(context, cores):
    assert context.member is not None
    assert context.member.address == types.Address("10.0.0.1", 7000)
    assert context.member.cores == parse_cores(cores), context.member
