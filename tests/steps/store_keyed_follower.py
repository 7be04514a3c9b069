"""Steps of tests/store/keyed_follower.feature."""

import asyncio

import behave
from returns import result

from chervillead import verdicts
from chervillead.store import interface
from chervillead.store import keyed_follower
from chervillead.store import keyed_state
from stand_ins import virtual_time

END = 4
FAILURE = interface.StoreFailure(verdicts.Verdict.MAY_HAVE_RUN, "no reply")


class FollowedStore:
    """A store of one partition: its reads, and what the follower reported."""

    def __init__(self, history_failures=0, page_records=END, record_s=0.0):
        self.history_failures = history_failures
        self.page_records = page_records
        self.record_s = record_s
        self.wait_s = 0.1
        self.read_s = []
        self.confirmed = []
        self.end = END
        self.applied = 0
        self.histories = []
        self.applied_when_current = []

    def as_store(self):
        """Returns the operations that a follower uses."""
        return interface.Store(
            append=None,
            read=self.read,
            read_latest=self.read_latest,
            join=None,
            leave=None,
            owners=None,
        )

    async def read_latest(self, topic, partition):
        """Returns the only key that is still present."""
        await asyncio.sleep(0.01)
        records = (interface.KeyedRecord("present", b"1", END - 1),)
        return result.Success(interface.LatestRecords(records, END))

    async def read(self, topic, partition, offset, wait_ms):
        """Returns a page of the records from an offset on."""
        await asyncio.sleep(0.01)
        if offset < END and self.history_failures:
            self.history_failures -= 1
            return result.Failure(FAILURE)
        if offset >= self.end:
            await asyncio.sleep(wait_ms / 1000)
        end = min(offset + self.page_records, self.end)
        await asyncio.sleep(self.record_s * max(0, end - max(END, offset)))
        records = tuple(
            interface.KeyedRecord(f"key-{number}", b"1", number)
            for number in range(offset, end)
        )
        return result.Success(interface.ReadPage(records, end, self.end))

    def apply_changes(self, changes):
        """Counts the records that were applied."""
        self.applied += sum(c.key.startswith("key-") for c in changes)
        self.read_s.append(asyncio.get_running_loop().time())

    def on_current(self, as_of_s):
        """Notes how many records were applied by then, and when."""
        self.applied_when_current.append(self.applied)
        self.confirmed.append((asyncio.get_running_loop().time(), as_of_s))


@behave.given("a store whose reads of the history fail twice")
def step(context):
    context.store = FollowedStore(history_failures=2)


@behave.given(
    "a store whose reads return {page:d} record of {waiting:d} that are waiting"
)
def step(context, page, waiting):
    context.store = FollowedStore(page_records=page)
    context.waiting = waiting


@behave.given(
    "a store whose reads wait {wait:g} s, and take {record:g} s for each record"
)
def step(context, wait, record):
    context.store = FollowedStore(record_s=record)
    context.store.wait_s = wait
    context.waiting = 1


async def follow_store(store, waiting, duration_s):
    async def publish():
        await asyncio.sleep(1)
        store.applied_when_current.clear()
        store.end += waiting

    publishing = asyncio.create_task(publish())
    following = asyncio.create_task(
        keyed_follower.follow(
            store.as_store(),
            "keyed.topic",
            keyed_state.KeyedState(),
            wait_ms=int(1000 * store.wait_s),
            boot_time=asyncio.get_running_loop().time,
            apply_changes=store.apply_changes,
            on_current=store.on_current,
            on_failure=lambda failure: None,
            apply_history=store.histories.append,
            history_records_per_key=END,
        )
    )
    await asyncio.sleep(duration_s)
    following.cancel()
    publishing.cancel()


@behave.when("a follower runs for {seconds:d} s")
def step(context, seconds):
    virtual_time.run_virtual(
        follow_store(
            context.store, getattr(context, "waiting", 0), float(seconds)
        ),
        context.seed,
    )


@behave.then("the history was applied once, with the removed key")
def step(context):
    (history,) = context.store.histories
    keys = [change.key for change in history]
    assert keys == [f"key-{number}" for number in range(END)], keys


@behave.then("the state is first reported as current after the last record")
def step(context):
    # The read that was under way when the records came may still be reported.
    reported = sorted(set(context.store.applied_when_current))
    assert reported in ([0, context.waiting], [context.waiting]), reported


@behave.then("the state was confirmed again within {seconds:g} s of the record")
def step(context, seconds):
    read_s = context.store.read_s[-1]
    confirmed = [
        at_s for at_s, as_of_s in context.store.confirmed if as_of_s >= read_s
    ]
    assert confirmed[0] - read_s <= seconds, (read_s, confirmed)
