"""Which partition holds the jobs of a pool.

The mapping depends on the name alone, so hosts with different configurations
agree on it.
"""

import xxhash

JOBS_TOPIC = "keyed.jobs"
OWNERS_GROUP = "pool-owners"
# The owner of this partition also orders the hosts of all pools.
HOSTS_PARTITION = 0


def partition_of(pool: str, partitions: int) -> int:
    """Returns the partition of a pool."""
    return xxhash.xxh64_intdigest(pool.encode()) % partitions
