"""Reserves free loopback ports against other test runs on the machine."""

import random
import socket
import typing

LOOPBACK = "127.0.0.1"
# Below the ephemeral ports of Linux, which outgoing connections can take.
FIRST_PORT = 10_000
END_PORT = 32_000
ATTEMPTS = 200


class ReservedPorts(typing.NamedTuple):
    """Contiguous ports that are reserved for this run until `release`.

    Attributes:
        base: First port.
        sockets: A bound socket for each port; none of them listens.
    """

    base: int
    sockets: list[socket.socket]

    def release(self) -> None:
        """Makes the ports available to other runs."""
        for reserved in self.sockets:
            reserved.close()


def reserve_ports(count: int) -> ReservedPorts:
    """Finds `count` contiguous free ports and reserves them.

    Raises:
        OSError: No free block was found.
    """
    # Not the shared generator: parallel runs with the same seed would choose
    # the same ports.
    generator = random.SystemRandom()
    for _ in range(ATTEMPTS):
        base = generator.randrange(FIRST_PORT, END_PORT - count)
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
        reserved = socket.socket()
        sockets.append(reserved)
        try:
            reserved.bind((LOOPBACK, port))
        except OSError:
            for bound in sockets:
                bound.close()
            return None
        # Set after the bind, so that a server of this run, which sets the
        # option, can listen on the port, while the bind of another run, which
        # does not set it, fails.
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sockets
