"""A stand-in of the platform's store, with faults on demand.

Written from the platform's published protocol: topics with partitions, keyed
records, producers with epochs, and groups that deal partitions out.
"""

import asyncio
import base64
import struct
import typing

import msgspec

from stand_ins import http_server

PARTITIONS = 24
APPEND_S = 0.004
MAX_REMEMBERED = 5

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")


class _Producer(typing.NamedTuple):
    epoch: int
    sequence: int
    answers: dict[int, dict[str, int]]


class _Partition:
    """Records of one partition, and the producers that appended."""

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
    """Members of a group and the partitions dealt to them."""

    def __init__(self) -> None:
        self.generation = 0
        self.last_heartbeat_s: dict[str, float] = {}
        self.ttl_s: dict[str, float] = {}
        self.known: dict[str, int] = {}
        self.assignments: dict[int, str] = {}


class StoreStandIn:
    """The store: its records and the faults in force.

    Attributes:
        is_down: Whether every call is refused.
        append_s: Time of an append.
        rejected_hosts: Callers' hosts whose calls are refused.
        dropping_replies: Whether changes are made but not answered.
        calls: Paths of the calls, in order.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.append_s = APPEND_S
        self.rejected_hosts: set[str] = set()
        self.dropping_replies = False
        self.calls: list[str] = []
        self._topics: dict[tuple[str, int], _Partition] = {}
        self._newest: dict[tuple[str, int], dict[str, tuple[int, bytes]]] = {}
        self._groups: dict[str, _Group] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record of a keyed topic, as operators and workers do."""
        self._store_records(topic, 0, [_keyed(key, value)])

    def value(self, topic: str, partition: int, key: str) -> bytes | None:
        """Returns the newest value of a key."""
        found = self._newest.get((topic, partition), {}).get(key)
        return found[1] if found else None

    def keys(self, topic: str) -> set[str]:
        """Returns the keys of a topic, over all partitions."""
        return {
            key
            for (name, _), newest in self._newest.items()
            if name == topic
            for key in newest
        }

    def truncate(self, topic: str) -> None:
        """Drops the history of a topic; the newest of each key stays."""
        for (name, _), partition in self._topics.items():
            if name == topic:
                partition.first = partition.end
                partition.records.clear()

    def rebalance(self, group: str) -> None:
        """Deals all partitions of a group to other members at once."""
        found = self._groups[group]
        members = sorted(found.last_heartbeat_s)
        found.generation += 1
        for partition, holder in list(found.assignments.items()):
            place = members.index(holder) + 1 if holder in members else 0
            found.assignments[partition] = members[place % len(members)]

    def remove_member(self, group: str, member: str) -> None:
        """Takes a member out of a group, as when its time to live ended."""
        self._leave(group, member)

    def assignments(self, group: str) -> dict[int, str]:
        """Returns the member of each partition."""
        return dict(self._groups[group].assignments)

    def handler_for(self, host: str) -> http_server.Handler:
        """Returns the handler of the calls of one host."""

        async def handle(
            request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> http_server.Reply | None:
            self.calls.append(request.path)
            is_append = request.path == "/log-append"
            await asyncio.sleep(self.append_s if is_append else APPEND_S)
            if self.is_down or host in self.rejected_hosts:
                return http_server.Reply(503)
            reply = await self._answer(request)
            if self.dropping_replies and request.method == "POST":
                # The connection stays open and returns nothing further.
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
            for place, record in enumerate(records):
                length = record[0]
                key = record[1 : 1 + length].decode()
                value = record[1 + length :]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset + place, value)
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
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if key > query.get("After", "")
        ]
        return _json(
            {
                "items": items[:500],
                "HasMore": len(items) > 500,
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
            for partition, holder in sorted(group.assignments.items())
            if holder == member
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
        """Deals partitions evenly; those of members that stay move rarely."""
        members = sorted(group.last_heartbeat_s)
        group.generation += 1
        if not members:
            group.assignments.clear()
            return
        quota = -(-PARTITIONS // len(members))
        held: dict[str, int] = dict.fromkeys(members, 0)
        for partition in range(PARTITIONS):
            holder = group.assignments.get(partition)
            if holder in held and held[holder] < quota:
                held[holder] += 1
                continue
            holder = min(members, key=lambda member: (held[member], member))
            held[holder] += 1
            group.assignments[partition] = holder

    def _owners(self, name: str) -> http_server.Reply:
        group = self._groups.setdefault(name, _Group())
        self._expire(group, asyncio.get_running_loop().time())
        rows = [
            ["", partition, holder, 0]
            for partition, holder in sorted(group.assignments.items())
        ]
        return _json(rows)


def _keyed(key: str, value: bytes) -> bytes:
    return bytes([len(key)]) + key.encode() + value


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
