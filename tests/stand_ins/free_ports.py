"""Free ports on loopback that no other run on the machine takes meanwhile."""

import random
import socket
import typing

LOOPBACK = "127.0.0.1"
# Below Linux's ephemeral ports, which outgoing connections take at any time.
FIRST_PORT = 10_000
END_PORT = 32_000
ATTEMPTS = 200


class ReservedPorts(typing.NamedTuple):
    """Contiguous ports that are kept for this run until `release`.

    Attributes:
        base: First port.
        sockets: A bound socket for each port; none of them listens.
    """

    base: int
    sockets: list[socket.socket]

    def release(self) -> None:
        """Lets other runs take the ports."""
        for held in self.sockets:
            held.close()


def reserve_ports(count: int) -> ReservedPorts:
    """Finds `count` contiguous free ports and keeps them.

    Raises:
        OSError: No free block was found.
    """
    # Seeded runs must not choose alike, so the shared generator isn't used.
    chooser = random.SystemRandom()
    for _ in range(ATTEMPTS):
        base = chooser.randrange(FIRST_PORT, END_PORT - count)
        sockets = bind_ports(base, count)
        if sockets is not None:
            return ReservedPorts(base, sockets)
    raise OSError(
        f"no {count} contiguous free ports from {FIRST_PORT} to {END_PORT} "
        f"found in {ATTEMPTS} attempts"
    )


def bind_ports(base: int, count: int) -> list[socket.socket] | None:
    """Binds a block of ports; returns None if one of them is in use."""
    sockets: list[socket.socket] = []
    for port in range(base, base + count):
        held = socket.socket()
        sockets.append(held)
        try:
            held.bind((LOOPBACK, port))
        except OSError:
            for bound in sockets:
                bound.close()
            return None
        # Set after the bind: a server of this run, which sets the option, can
        # then listen on the port, but another run's bind without it fails.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sockets
