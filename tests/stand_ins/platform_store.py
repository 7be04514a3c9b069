"""In-memory stand-in of the platform's store, with fault injection.

It follows the platform's published protocol: topics with partitions, keyed
records, producers with epochs, and groups that assign partitions to members.
"""

import asyncio
import base64
import itertools
import struct
import typing

import msgspec

from stand_ins import http_server

PARTITIONS = 24
APPEND_S = 0.004
MAX_REMEMBERED = 5
MAX_RECORD_BYTES = 262_144
# Limits of one page of the newest records.
MAX_PAGE_RECORDS = 500
MAX_PAGE_BYTES = 1_000_000

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")


class _Producer(typing.NamedTuple):
    epoch: int
    sequence: int
    answers: dict[int, dict[str, int]]


class _Partition:
    """Records of one partition and the state of its producers."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.producers: dict[str, _Producer] = {}
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, records: list[bytes]) -> int:
        offset = self.end
        self.records.extend(records)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


class _Group:
    """Members of a group and the partitions assigned to them."""

    def __init__(self) -> None:
        self.generation = 0
        self.last_heartbeat_s: dict[str, float] = {}
        self.ttl_s: dict[str, float] = {}
        self.known: dict[str, int] = {}
        self.assignments: dict[int, str] = {}


class StoreStandIn:
    """The store's records, groups and active faults.

    Attributes:
        is_down: Whether every call is rejected with status 503.
        append_s: Duration of an append.
        newest_s: Duration of a read of the newest records.
        rejected_hosts: Entry hosts whose calls are rejected with status 503.
        dropping_replies: Whether POST calls are executed but get no reply.
        paths_without_reply: Calls to these paths are executed but get no reply.
        calls: Paths of the received calls, in order.
        hosts_without_joins: Entry hosts whose joins get no answer.
        max_record_bytes: Longest record that is accepted, with its key.
        refused_appends: Number of appends that were rejected for a record.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.append_s = APPEND_S
        self.newest_s = APPEND_S
        self.rejected_hosts: set[str] = set()
        self.dropping_replies = False
        self.paths_without_reply: set[str] = set()
        self.calls: list[str] = []
        self.hosts_without_joins: set[str] = set()
        self.max_record_bytes = MAX_RECORD_BYTES
        self.refused_appends = 0
        self._topics: dict[tuple[str, int], _Partition] = {}
        self._newest: dict[tuple[str, int], dict[str, tuple[int, bytes]]] = {}
        self._groups: dict[str, _Group] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record to a keyed topic, as operators and workers do."""
        self.put_records(topic, 0, {key: value})

    def put_records(
        self, topic: str, partition: int, records: dict[str, bytes]
    ) -> None:
        """Appends records to a partition of a keyed topic."""
        self._store_records(
            topic, partition, list(itertools.starmap(_keyed, records.items()))
        )

    def value(self, topic: str, partition: int, key: str) -> bytes | None:
        """Returns the newest value of a key, or None if it has none."""
        found = self._newest.get((topic, partition), {}).get(key)
        return found[1] if found else None

    def keys(self, topic: str) -> set[str]:
        """Returns the keys of a topic across all partitions."""
        return {
            key
            for (name, _), newest in self._newest.items()
            if name == topic
            for key in newest
        }

    def truncate(self, topic: str) -> None:
        """Drops the history of a topic but keeps the newest value per key."""
        for (name, _), partition in self._topics.items():
            if name == topic:
                partition.first = partition.end
                partition.records.clear()

    def rebalance(self, group: str) -> None:
        """Moves every partition of a group to the next member at once."""
        self.reassign(group, list(self._groups[group].assignments))

    def reassign(self, group: str, partitions: list[int]) -> None:
        """Moves some partitions of a group to the next member at once."""
        found = self._groups[group]
        members = sorted(found.last_heartbeat_s)
        found.generation += 1
        for partition in partitions:
            owner = found.assignments[partition]
            position = members.index(owner) + 1 if owner in members else 0
            found.assignments[partition] = members[position % len(members)]

    def remove_member(self, group: str, member: str) -> None:
        """Removes a member from a group, as when its TTL expires."""
        self._leave(group, member)

    def assignments(self, group: str) -> dict[int, str]:
        """Returns the member to which each partition is assigned."""
        return dict(self._groups[group].assignments)

    def handler_for(self, host: str) -> http_server.Handler:
        """Returns the handler for calls of one entry host."""

        async def handle(
            request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> http_server.Reply | None:
            self.calls.append(request.path)
            durations_s = {
                "/log-append": self.append_s,
                "/log-newest": self.newest_s,
            }
            await asyncio.sleep(durations_s.get(request.path, APPEND_S))
            if self.is_down or host in self.rejected_hosts:
                return http_server.Reply(503)
            if request.path == "/log-join" and host in self.hosts_without_joins:
                await asyncio.sleep(3600)
            reply = await self._answer(request)
            if request.path in self.paths_without_reply or (
                self.dropping_replies and request.method == "POST"
            ):
                # The connection stays open but delivers nothing further.
                await asyncio.sleep(3600)
            return reply

        return handle

    async def _answer(
        self, request: http_server.ReceivedRequest
    ) -> http_server.Reply:
        if request.path == "/log-append":
            return self._append(request)
        if request.path == "/log-read":
            return await self._read(request.query)
        if request.path == "/log-newest":
            return self._page(request.query)
        if request.path == "/log-owners":
            return self._owners(request.query["group"])
        fields = msgspec.json.decode(request.body)
        if request.path == "/log-join":
            return self._join(fields)
        if request.path == "/log-leave":
            self._leave(fields["group"], fields["Member"])
            return _json({})
        return http_server.Reply(404)

    def _partition(self, topic: str, number: int) -> _Partition:
        return self._topics.setdefault((topic, number), _Partition())

    def _append(
        self, request: http_server.ReceivedRequest
    ) -> http_server.Reply:
        query = request.query
        topic, number = query["Topic"], int(query["part"])
        partition = self._partition(topic, number)
        records = _split(request.body)
        if any(len(record) > self.max_record_bytes for record in records):
            self.refused_appends += 1
            return _json({}, 400)
        if "Producer" not in query:
            offset = self._store_records(topic, number, records)
            return _json({"Offset": offset, "End": partition.end})
        name, epoch = query["Producer"], int(query["epoch"])
        sequence = int(query["Seq"])
        known = partition.producers.get(name)
        if known is not None and epoch < known.epoch:
            return _json({"Reason": "fenced", "epoch": known.epoch}, 409)
        if known is not None and epoch == known.epoch:
            if sequence in known.answers:
                return _json(known.answers[sequence])
            if sequence != known.sequence + 1:
                reason = {"Reason": "seq", "Seq": known.sequence + 1}
                return _json(reason, 409)
        answers = (
            known.answers if known is not None and known.epoch == epoch else {}
        )
        offset = self._store_records(topic, number, records)
        answer = {"Offset": offset, "End": partition.end}
        kept = dict([*answers.items(), (sequence, answer)][-MAX_REMEMBERED:])
        partition.producers[name] = _Producer(epoch, sequence, kept)
        return _json(answer)

    def _store_records(
        self, topic: str, number: int, records: list[bytes]
    ) -> int:
        partition = self._partition(topic, number)
        offset = partition.add(records)
        if topic.startswith("keyed."):
            newest = self._newest.setdefault((topic, number), {})
            for position, record in enumerate(records):
                length = record[0]
                key = record[1 : 1 + length].decode()
                value = record[1 + length :]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset + position, value)
        return offset

    async def _read(self, query: dict[str, str]) -> http_server.Reply:
        partition = self._partition(query["Topic"], int(query["part"]))
        offset = int(query["From"])
        if offset < partition.first:
            return _json({"First": partition.first}, 410)
        if offset >= partition.end and "WaitMs" in query:
            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await partition.appended.wait()
            except TimeoutError:
                pass
        records = partition.records[max(0, offset - partition.first) :]
        body = _HEAD.pack(partition.end, partition.first) + b"".join(
            _LENGTH.pack(len(record)) + record for record in records
        )
        return http_server.Reply(200, body)

    def _page(self, query: dict[str, str]) -> http_server.Reply:
        topic, number = query["Topic"], int(query["part"])
        partition = self._partition(topic, number)
        newest = self._newest.get((topic, number), {})
        remaining = [
            (key, offset, value)
            for key, (offset, value) in sorted(newest.items())
            if key > query.get("After", "")
        ]
        items: list[dict[str, object]] = []
        size = 0
        for key, offset, value in remaining[:MAX_PAGE_RECORDS]:
            size += len(value)
            if items and size > MAX_PAGE_BYTES:
                break
            encoded = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": encoded, "Offset": offset})
        return _json(
            {
                "items": items,
                "HasMore": len(items) < len(remaining),
                "End": partition.end,
            }
        )

    def _join(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        group = self._groups.setdefault(fields["group"], _Group())
        member = fields["Member"]
        now_s = asyncio.get_running_loop().time()
        is_new = member not in group.last_heartbeat_s
        group.last_heartbeat_s[member] = now_s
        group.ttl_s[member] = fields["TtlMs"] / 1000
        self._expire(group, now_s)
        if is_new:
            self._assign(group)
        rows = [
            [fields["Topics"][0], partition, 0]
            for partition, owner in sorted(group.assignments.items())
            if owner == member
        ]
        return _json({"Generation": group.generation, "parts": rows})

    def _leave(self, name: str, member: str) -> None:
        group = self._groups.setdefault(name, _Group())
        if group.last_heartbeat_s.pop(member, None) is not None:
            self._assign(group)

    def _expire(self, group: _Group, now_s: float) -> None:
        silent = [
            member
            for member, last_heartbeat_s in group.last_heartbeat_s.items()
            if now_s - last_heartbeat_s > group.ttl_s[member]
        ]
        for member in silent:
            del group.last_heartbeat_s[member]
        if silent:
            self._assign(group)

    def _assign(self, group: _Group) -> None:
        """Assigns partitions evenly, moving few from remaining members.

        The numbers of partitions of any two members differ by at most one.
        """
        members = sorted(group.last_heartbeat_s)
        group.generation += 1
        if not members:
            group.assignments.clear()
            return
        quota, larger_shares = divmod(PARTITIONS, len(members))
        held: dict[str, int] = dict.fromkeys(members, 0)
        unassigned = []
        for partition in range(PARTITIONS):
            owner = group.assignments.get(partition)
            if owner in held and held[owner] < quota:
                held[owner] += 1
            elif owner in held and held[owner] == quota and larger_shares:
                held[owner] += 1
                larger_shares -= 1
            else:
                unassigned.append(partition)
        for partition in unassigned:
            owner = min(members, key=lambda member: (held[member], member))
            held[owner] += 1
            group.assignments[partition] = owner

    def _owners(self, name: str) -> http_server.Reply:
        group = self._groups.setdefault(name, _Group())
        self._expire(group, asyncio.get_running_loop().time())
        rows = [
            ["", partition, owner, 0]
            for partition, owner in sorted(group.assignments.items())
        ]
        return _json(rows)


def _keyed(key: str, value: bytes) -> bytes:
    encoded = key.encode()
    return bytes([len(encoded)]) + encoded + value


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def _json(fields: object, status: int = 200) -> http_server.Reply:
    return http_server.Reply(status, msgspec.json.encode(fields))
