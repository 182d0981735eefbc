"""Reads the settings file of the platform: lines of the form ``a.b=value``."""

from dataclasses import dataclass
from math import isfinite
from pathlib import Path

from dragonflynotch.control.rows import StoreLimits
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import (
    Unreadable,
    decode_untrusted,
    parse_address,
    shorten,
)

__all__ = (
    'SETTINGS_VARIABLE',
    'Address',
    'Bounds',
    'PlatformSettings',
    'load_settings',
)

Address = tuple[str, int]
_DEFAULT_STORE_LIMITS = StoreLimits()
SETTINGS_VARIABLE = 'DRAGONFLYNOTCH_SETTINGS'
_MS_PER_S = 1000
# About 30 years, in milliseconds.
_MAX_NUMBER = 1_000_000_000_000


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment guarantees or demands.

    Parameters
    ----------
    max_minion_lease_ms : int
        Longest lease that a minion accepts (``bounds.hold_max_ms``).
    max_stop_ms : int
        Longest time that a minion takes to stop a run (``bounds.stop_ms``).
    termination_grace_ms : int
        Time between SIGTERM and SIGKILL (``bounds.grace_s``).
    ended_state_ms : int
        How long after its end callers may ask for the state of a job
        (``bounds.status_s``).
    off_rack_slowdown : float
        Factor by which the run time of a task grows on a rack other than that
        of its data (``bounds.far_x``).
    evacuation_bound_ms : int or None
        How long after the acknowledgement of an evacuation runs may still
        start in the data centre (``bounds.evacuate_ms``); ``None`` in
        deployments without evacuations.
    """

    max_minion_lease_ms: int
    max_stop_ms: int
    termination_grace_ms: int
    ended_state_ms: int
    off_rack_slowdown: float
    evacuation_bound_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Checked settings of one process.

    Parameters
    ----------
    node : str
        Name of this process in rows, logs and metrics.
    store_address : tuple of (str, int)
        Address of the metadata store (``platform.address``).
    metrics_address : tuple of (str, int)
        Address to listen on for metrics and for the calls that a front relays
        (``ip`` and the first port of ``port_range``).
    caller_address, readiness_address : tuple of (str, int) or None
        Addresses to listen on for callers and readiness checks
        (``listen.front``, ``listen.ready``).
    heartbeat_address : tuple of (str, int) or None
        Address to listen on for heartbeats of the minion
        (``listen.control``).
    minion_address : tuple of (str, int) or None
        Address of the minion on this machine (``app``).
    service : str
        Service of the minion on this machine.
    cores : float or None
        Processor capacity of this process in cores (``limits.cores`` times
        ``limits.cpu_share``), if it is limited.
    link_mbps : float or None
        Bandwidth of the link of this machine in Mbit/s
        (``limits.link_mbps``), if it is limited.
    machines_address : tuple of (str, int) or None
        Address of the list of machines (``cloud.address``), if there is one.
    machine_reads_per_s : float or None
        Pages of that list that the platform returns per second to all nodes
        together (``cloud.rate_per_s``), if they are limited.
    store_limits : StoreLimits
        What the metadata store accepts (``platform.row_bytes``).
    """

    node: str
    store_address: Address
    metrics_address: Address
    bounds: Bounds
    caller_address: Address | None = None
    readiness_address: Address | None = None
    heartbeat_address: Address | None = None
    minion_address: Address | None = None
    service: str = ''
    cores: float | None = None
    link_mbps: float | None = None
    machines_address: Address | None = None
    machine_reads_per_s: float | None = None
    store_limits: StoreLimits = _DEFAULT_STORE_LIMITS


def load_settings(path: Path) -> PlatformSettings:
    """Read and check a settings file; unknown fields are ignored.

    Raises
    ------
    InvalidInputError
        If a required field is missing or a value is malformed.
    """
    text = decode_untrusted(bytes.decode, path.read_bytes())
    if isinstance(text, Unreadable):
        raise _invalid_setting(str(path), text.reason, 'UTF-8')
    fields = dict(
        line.split('=', 1) for line in text.splitlines() if '=' in line
    )
    return _SettingsParser(fields).settings()


class _SettingsParser:
    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields

    def settings(self) -> PlatformSettings:
        first_port = self._required_text('port_range').partition(',')[0]
        return PlatformSettings(
            node=self._required_text('node'),
            store_address=self._required_address('platform.address'),
            metrics_address=(
                self._required_text('ip'),
                self._port('port_range', first_port),
            ),
            bounds=Bounds(
                max_minion_lease_ms=self._number('bounds.hold_max_ms', 6000),
                max_stop_ms=self._number('bounds.stop_ms', 400),
                termination_grace_ms=self._number(
                    'bounds.grace_s', 6, _MS_PER_S
                ),
                ended_state_ms=self._number('bounds.status_s', 120, _MS_PER_S),
                off_rack_slowdown=self._finite('bounds.far_x', 3),
                evacuation_bound_ms=self._optional_number('bounds.evacuate_ms'),
            ),
            caller_address=self._address('listen.front'),
            readiness_address=self._address('listen.ready'),
            heartbeat_address=self._address('listen.control'),
            minion_address=self._address('app'),
            service=self._fields.get('service', ''),
            cores=self._cores(),
            link_mbps=self._limit('limits.link_mbps'),
            machines_address=self._address('cloud.address'),
            machine_reads_per_s=self._limit('cloud.rate_per_s'),
            store_limits=StoreLimits(
                row_bytes=self._number(
                    'platform.row_bytes', _DEFAULT_STORE_LIMITS.row_bytes
                )
            ),
        )

    def _cores(self) -> float | None:
        cores = self._limit('limits.cores')
        share = self._limit('limits.cpu_share')
        if cores is None or share is None:
            return cores or share
        return cores * share

    def _limit(self, name: str) -> float | None:
        """Return a limit; one that is not a positive number counts as none.

        The limits only decide which candidate claims the lease first, and how
        fast lists are read, so an unreadable one does not prevent a start.
        """
        try:
            limit = float(self._fields.get(name, ''))
        except ValueError:
            return None
        return limit if limit > 0 and isfinite(limit) else None

    def _required_text(self, name: str) -> str:
        text = self._fields.get(name, '')
        if not text:
            raise _invalid_setting(name, text, 'a value')
        return text

    def _number(self, name: str, default: float, factor: int = 1) -> int:
        return int(self._finite(name, default) * factor)

    def _optional_number(self, name: str) -> int | None:
        return self._number(name, 0) if name in self._fields else None

    def _finite(self, name: str, default: float) -> float:
        text = self._fields.get(name, str(default))
        number = decode_untrusted(float, text)
        if isinstance(number, Unreadable) or not 0 <= number <= _MAX_NUMBER:
            raise _invalid_setting(
                name, shorten(text), f'a number from 0 to {_MAX_NUMBER}'
            )
        return number

    def _port(self, name: str, text: str) -> int:
        address = parse_address(f'port:{text}')
        if address is None:
            raise _invalid_setting(name, shorten(text), 'a port')
        return address[1]

    def _address(self, name: str) -> Address | None:
        text = self._fields.get(name, '')
        if not text:
            return None
        host, _, port = text.rpartition(':')
        return host, self._port(name, port)

    def _required_address(self, name: str) -> Address:
        address = self._address(name)
        if address is None:
            raise _invalid_setting(name, '', 'an address')
        return address


def _invalid_setting(name: str, text: str, expected: str) -> InvalidInputError:
    return InvalidInputError(name, text, expected)
