"""Maps each pool to the store partition that holds its jobs.

The mapping depends only on the pool's name, so that hosts with different
configurations agree on it.
"""

from collections import abc

import xxhash

from chervillead.store import interface

JOBS_TOPIC = "keyed.jobs"
# Which partitions have accepted jobs of which queue, in partition 0.
QUEUES_TOPIC = "keyed.queues"
OWNERS_GROUP = "pool-owners"
# The owner of this partition also sends the commands for hosts of all pools.
HOSTS_PARTITION = 0


def partition_of(pool: str, partitions: int) -> int:
    """Returns the partition that holds the jobs of a pool."""
    return xxhash.xxh64_intdigest(pool.encode()) % partitions


def queue_record(partition: int, address: str) -> interface.KeyedRecord:
    """Returns the record that a partition accepts jobs of a queue.

    The address is hashed in the key, since keys are short.
    """
    return interface.KeyedRecord(
        f"{xxhash.xxh64_hexdigest(address.encode())}:{partition}",
        address.encode(),
    )


def partitions_of_queue(
    records: abc.Iterable[interface.KeyedRecord], address: str
) -> set[int]:
    """Returns the partitions that have accepted jobs of a queue."""
    encoded = address.encode()
    return {
        int(record.key.rpartition(":")[2])
        for record in records
        if record.value == encoded
    }
