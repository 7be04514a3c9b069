"""A hypothesis state machine that tests the fold with random records.

The checks are independent of the rules and the index of the fold: they count
from scratch and from the machine's own list of accepted records.
"""

import typing

from hypothesis import stateful
from hypothesis import strategies

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import records
from chervillead.fleet import team_units
from stand_ins import fold_shapes


class FoldMachine(stateful.RuleBasedStateMachine):
    """Folds random records one by one and checks invariants after each."""

    def __init__(self) -> None:
        super().__init__()
        self.state = configuration_module.EMPTY
        self.log: list[records.LogEntry] = []
        self.seen_ids: list[str] = []
        self.versions: dict[tuple[str, str], int] = {}
        self.host_pools: dict[str, str] = {}
        self.team_zones: dict[str, tuple[str, ...]] = {}
        self.kept: list[tuple[configuration_module.Configuration, str]] = []

    @stateful.initialize()
    def declare_fleet(self) -> None:
        """Folds a small fleet, so that the subjects of most records exist."""
        for kind, subject, fields in fold_shapes.first_records():
            self._propose(kind, subject, fields)

    @stateful.rule(data=strategies.data())
    def valid_shape(self, data: strategies.DataObject) -> None:
        """Folds a record that is based on the current version."""
        kind, subject, fields = fold_shapes.draw_record(data)
        if data.draw(strategies.integers(0, 9)) == 0:
            fields = {}
        self._propose(kind, subject, fields)

    @stateful.rule(
        host=strategies.sampled_from(fold_shapes.HOSTS),
        pool=strategies.sampled_from(fold_shapes.POOLS),
        kind=strategies.sampled_from((records.DRAIN, records.MOVE)),
    )
    def advance_host(self, host: str, pool: str, kind: str) -> None:
        """Advances a drain or a move by one state."""
        steps = fold_shapes.NEXT_STATES[kind]
        values = (
            self.state.drains if kind == records.DRAIN else (self.state.moves)
        )
        fields = {
            "state": steps[values[host].state.value if host in values else None]
        }
        if kind == records.MOVE:
            known = self.state.moves.get(host)
            if known is not None and known.state.value != "joined":
                pool = known.to_pool
            fields["to_pool"] = pool
        self._propose(kind, host, fields)

    @stateful.rule(
        zones=strategies.permutations(fold_shapes.ZONES),
        team=strategies.sampled_from(fold_shapes.TEAMS),
        units=strategies.integers(1, 4),
        fenced=strategies.booleans(),
    )
    def transfer_units(
        self, zones: list[str], team: str, units: int, fenced: bool
    ) -> None:
        """Transfers units to another zone, half the time without the seat."""
        seat = (records.SEAT, f"{zones[0]}/0")
        fields = {
            "incarnation": self.versions.get(seat, -1) - fenced,
            "to_zone": zones[1],
            "units": {team: units},
        }
        self._propose(records.TRANSFER, zones[0], fields)

    @stateful.rule(
        team=strategies.sampled_from(fold_shapes.TEAMS),
        limit=strategies.integers(0, 20),
    )
    def change_limit(self, team: str, limit: int) -> None:
        """Declares a zone after the teams, then changes a team's limit."""
        zone = fold_shapes.ZONES[-1]
        self._propose(records.ZONE, zone, {"index": 2})
        self._propose(records.TEAM, team, {"share": 1.0, "limit": limit})

    @stateful.rule(
        host=strategies.sampled_from(fold_shapes.HOSTS),
        pool=strategies.sampled_from(fold_shapes.POOLS[:2]),
        zone=strategies.sampled_from(fold_shapes.ZONES[:2]),
    )
    def change_host(self, host: str, pool: str, zone: str) -> None:
        """Declares a new or an existing host in any pool and zone."""
        place = {"pool": pool, "zone": zone, "rack": "r0"}
        fields = {**place, "address": fold_shapes.ADDRESS}
        self._propose(records.HOST, host, fields)

    @stateful.rule(data=strategies.data(), based_on=strategies.integers(-1, 30))
    def stale(self, data: strategies.DataObject, based_on: int) -> None:
        """Folds a record that is based on an arbitrary version."""
        self._propose(*fold_shapes.draw_record(data), based_on=based_on)

    @stateful.rule(data=strategies.data())
    def repeated(self, data: strategies.DataObject) -> None:
        """Folds a record with an id that was used before."""
        used = data.draw(strategies.sampled_from(self.seen_ids))
        self._propose(*fold_shapes.draw_record(data), record_id=used)

    @stateful.rule(
        data=strategies.binary(max_size=12),
        kind=strategies.sampled_from(tuple(fold_shapes.SHAPES)),
        fields=strategies.dictionaries(
            strategies.sampled_from(("pool", "index", "units", "state")),
            strategies.none() | strategies.text(max_size=3),
            min_size=1,
        ),
    )
    def malformed(
        self, data: bytes, kind: str, fields: dict[str, typing.Any]
    ) -> None:
        """Folds bytes that are no record, and fields that don't fit a kind."""
        self._append(data)
        self._propose(kind, "h0", fields)

    def _propose(
        self,
        kind: str,
        subject: str,
        fields: dict[str, typing.Any],
        *,
        based_on: int | None = None,
        record_id: str | None = None,
    ) -> None:
        if based_on is None:
            based_on = self.versions.get((kind, subject), -1)
        record = records.Record(
            record_id or f"id-{len(self.log)}", kind, subject, based_on, fields
        )
        before, fold_result = self._append(records.encode_record(record))
        accepted = fold_result.outcome is fold.Outcome.ACCEPTED
        repeats = record.record_id in self.seen_ids
        assert (fold_result.outcome is fold.Outcome.REPEATED) == repeats, (
            fold_result
        )
        self.seen_ids.append(record.record_id)
        if not accepted:
            assert before._replace(offset=0, recent_ids={}) == (
                self.state._replace(offset=0, recent_ids={})
            ), f"a rejected record changed the state: {record} {fold_result}"
            return
        version = self.versions.get((kind, subject), -1)
        assert based_on == version, f"reverts a newer version: {record}"
        self._check_accepted(record)
        self.versions[(kind, subject)] = fold_result.offset

    def _append(
        self, data: bytes
    ) -> tuple[configuration_module.Configuration, fold.FoldResult]:
        before = self.state
        self.log.append(records.LogEntry(len(self.log), data))
        (step,) = fold.fold_records(
            before, records.decode_entries(self.log[-1:])
        )
        self.state = step.configuration
        if len(self.log) % 5 == 0:
            self.kept.append((before, _dump(before)))
        return before, step.result

    def _check_accepted(self, record: records.Record) -> None:
        fields, name = record.fields, record.subject
        if record.kind == records.HOST:
            if not fields:
                self.host_pools.pop(name, None)
            else:
                self.host_pools.setdefault(name, fields["pool"])
        if record.kind == records.MOVE and fields.get("state") == "joined":
            self.host_pools[name] = fields["to_pool"]
        if record.kind == records.TEAM:
            if not fields:
                self.team_zones.pop(name, None)
            else:
                zones = self.state.teams[name].zones
                known = self.team_zones.setdefault(name, zones)
                assert known == zones, f"{name}: {known} became {zones}"
        if record.kind == records.TRANSFER:
            seat = self.versions.get((records.SEAT, f"{name}/0"), -1)
            assert fields["incarnation"] == seat, record
            for team in fields["units"]:
                assert team_units.zone_units(self.state, team, name) >= 0
        if record.kind == records.DRAIN and fields.get("state") == "granted":
            check_budget(self.state, self.state.hosts[name].pool, drains=True)
        if record.kind == records.MOVE and fields.get("state") == "leaving":
            check_budget(self.state, self.state.hosts[name].pool, drains=False)

    @stateful.invariant()
    def one_pool(self) -> None:
        """Checks that each host is in the pool set by its accepted records."""
        pools = {name: host.pool for name, host in self.state.hosts.items()}
        assert pools == self.host_pools, (pools, self.host_pools)
        assert set(pools.values()) <= set(self.state.pools)
        assert {h.zone for h in self.state.hosts.values()} <= set(
            self.state.zones
        )
        indexed = {
            pool: sum(use.zone_hosts.values())
            for pool, use in self.state.pool_use.items()
        }
        counted = list(pools.values())
        assert indexed == {p: counted.count(p) for p in counted}, indexed

    @stateful.invariant()
    def whole_limits(self) -> None:
        """Checks that the units of all zones add up to each team's limit."""
        for name, team in self.state.teams.items():
            zones = {*fold_shapes.ZONES, *team.zones}
            units = [
                team_units.zone_units(self.state, name, zone) for zone in zones
            ]
            assert sum(units) == team.limit, (name, team, units)

    @stateful.invariant()
    def unique_seats(self) -> None:
        """Checks that no host holds two leader seats or two standby seats."""
        seats = self.state.seats.values()
        held = [(seat.host, seat.number == 0) for seat in seats]
        assert len(held) == len(set(held)), held

    def teardown(self) -> None:
        """Folds the log in batches of other sizes and compares the states."""
        for batch, overlap in ((1, 0), (3, 2), (7, 5), (1000, 0)):
            state = configuration_module.EMPTY
            for start in range(0, len(self.log), batch):
                part = self.log[max(0, start - overlap) : start + batch]
                for step in fold.fold_records(
                    state, records.decode_entries(part)
                ):
                    assert step.configuration.offset > state.offset, (
                        "a lower offset replaced a higher one"
                    )
                    state = step.configuration
            assert state == self.state, f"batches of {batch} differ"
        for state, dumped in self.kept:
            assert _dump(state) == dumped, "an earlier state was modified"


def check_budget(
    state: configuration_module.Configuration, pool: str, *, drains: bool
) -> None:
    """Checks the budget of `pool` by a count over all hosts."""
    budget = state.pools[pool]
    down, racks, zones = 0, set(), set()
    for name, host in state.hosts.items():
        if host.pool != pool:
            continue
        drain = name in state.drains and state.drains[name].state.value
        move = name in state.moves and state.moves[name].state.value
        down += (
            drain in ("granted", "drained", "failed")
            or move in ("leaving", "drained")
            or state.zones[host.zone].status.value == "out"
        )
        if drain in ("granted", "drained"):
            racks.add((host.zone, host.rack))
            zones.add(host.zone)
    assert down <= budget.max_unavailable, (pool, down, budget)
    if drains:
        assert len(racks) <= budget.max_unavailable_racks, (racks, budget)
        assert len(zones) <= budget.max_unavailable_zones, (zones, budget)


def _dump(state: configuration_module.Configuration) -> str:
    return repr(
        [dict(value) if hasattr(value, "items") else value for value in state]
    )
