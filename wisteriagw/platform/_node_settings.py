"""Settings that the platform passes to a process."""

from __future__ import annotations

from typing import NamedTuple

Address = tuple[str, int]


class NodeSettings(NamedTuple):
    """Settings of one process on one VM.

    Attributes
    ----------
    vm, data_centre : str
        Names of the VM and of its data centre.
    data_centres : tuple of str
        All data centres of the deployment.
    front, ready, directory, peers : tuple of str and int
        Addresses to listen on: for callers, for the platform's readiness check, for
        callers' address queries, and for other VMs.
    store, duties : tuple of str and int
        Addresses of the platform's store and of its interface for usage and orders.
    heartbeat : float
        Seconds between the reports of a backend server.
    first_start : bool
        Whether the whole system starts for the first time.
    withdrawal_seconds : float
        Time after which a withdrawn key must not be served any more.
    retry_ratio, retry_allowance, retry_window : float
        Retry budget of all VMs together in a window of seconds: a fraction of the
        requests plus a constant number.
    lease_seconds : float
        Lease time of the authority; its holder may not change within it.
    usage_window, usage_due : float
        Length of a usage window, and time after its end at which it is due.
    shutdown_seconds : float
        Time between the termination signal and the kill.
    drain_seconds : float
        Time after which a leaving backend server must not be given new work.
    contact_seconds : float
        Time without disturbances after which the platform expects its bounds to hold.
    address_seconds : float
        Maximum time for which callers may cache a response of the directory.
    apply_seconds : float
        Time after which a new configuration must be in force.
    memory_mb : int
        Memory above which the process is killed.
    core_part, core_speed : float
        Fraction of a processor core available to the process, and the speed of that
        core relative to the usual one.
    quota_window, quota_over, quota_slack : float
        Window in seconds of the bound on customers' quotas, accepted excess as a
        fraction of the quota, and as a number of tokens; 0 where there is no bound.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    front: Address
    ready: Address
    directory: Address
    peers: Address
    store: Address
    duties: Address
    heartbeat: float
    first_start: bool
    withdrawal_seconds: float
    retry_ratio: float
    retry_allowance: float
    retry_window: float
    lease_seconds: float
    usage_window: float
    usage_due: float
    shutdown_seconds: float
    drain_seconds: float
    contact_seconds: float
    address_seconds: float
    apply_seconds: float
    memory_mb: int
    core_part: float
    core_speed: float
    quota_window: float = 0.0
    quota_over: float = 0.0
    quota_slack: float = 0.0
