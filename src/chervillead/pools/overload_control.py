"""Rates of accounts at one owner, and its decisions under overload."""

from chervillead.jobs import account_rates
from chervillead.pools import ports as ports_module


class OverloadControl:
    """What an owner keeps in memory to decide under overload."""

    def __init__(self, ports: ports_module.OwnerPorts) -> None:
        self._ports = ports
        self._rates = account_rates.AccountRates()

    def take_token(self, account: str) -> bool:
        """Counts an accepted job; returns whether it is within the rate."""
        now_s = self._ports.clock.monotonic()
        return self._rates.take(account, self._agreed_rate(account), now_s)

    def _agreed_rate(self, account: str) -> float:
        """Returns the submissions per second; 0 if none are agreed on."""
        configuration = self._ports.configuration()
        if configuration is None or account not in configuration.accounts:
            return 0.0
        return configuration.accounts[account].weight
