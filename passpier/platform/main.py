"""Starts the router with the platform adapter."""

from __future__ import annotations

import asyncio
import functools
import logging
import os
import pathlib
import random
import signal
import sys
from collections.abc import Mapping

import msgspec

from passpier import clocks, exceptions
from passpier.clients import connections
from passpier.core import buckets, features
from passpier.daemon import logs, tasks
from passpier.platform import dialect as platform_dialect
from passpier.platform import names, settings, store
from passpier.routing import dialect, router

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
METRICS_VARIABLE = 'PASSPIER_METRICS_PORT'
METRICS_PORT = 9464
"""Default port of the metrics endpoint; the deployment files name the same one."""

LEVEL_VARIABLE = 'PASSPIER_LOG_LEVEL'
FEATURES_VARIABLE = 'PASSPIER_DISABLED_FEATURES'
LEVELS = ('debug', 'info', 'warning', 'error')

ANSWER_TTL = 1.0
"""Seconds for which clients may cache a response of the directory. Some clients cache it for three
times as long, so a stopping process accepts requests for that time."""

LEASE_TTL = 1.5
"""Seconds of the lease that the holder of the right to give orders keeps; a successor has to wait
until it expires."""

DRAIN_FRACTION = 0.88
"""Fraction of the grace period before SIGKILL in which requests may finish during a drain.
The rest is for the last responses, deregistration and the last messages to peers."""

SETTINGS_CHECK_INTERVAL = 1.0
"""Seconds between checks whether the settings file has changed."""


class Environment(msgspec.Struct, frozen=True):
    """The settings in environment variables."""

    metrics_port: int = METRICS_PORT
    level: str = 'info'
    enabled_features: frozenset[features.Feature] = features.ALL


DEFAULT_ENVIRONMENT = Environment()


def read_environment(environment: Mapping[str, str]) -> Environment:
    """Return the settings in the environment; raise `FindingsError` with all findings."""
    findings = []
    port = environment.get(METRICS_VARIABLE, str(METRICS_PORT))
    if not port.isdigit() or not 0 < int(port) < 65536:
        findings.append(exceptions.Finding(METRICS_VARIABLE, 'must be a port'))
    level = environment.get(LEVEL_VARIABLE, 'info')
    if level not in LEVELS:
        findings.append(exceptions.Finding(LEVEL_VARIABLE, f'must be one of {", ".join(LEVELS)}'))
    disabled: frozenset[features.Feature] = frozenset()
    try:
        disabled = features.parse_disabled(environment.get(FEATURES_VARIABLE, ''))
    except ValueError as error:
        findings.append(exceptions.Finding(FEATURES_VARIABLE, str(error)))
    if findings:
        raise exceptions.FindingsError(findings)
    return Environment(int(port), level, features.ALL - disabled)


def build_options(
    loaded: settings.Settings, environment: Environment = DEFAULT_ENVIRONMENT
) -> dialect.Options:
    """Convert the settings to the router's options."""
    bounds = loaded.bounds
    first_port, last_port = loaded.internal_ports
    return dialect.Options(
        name=loaded.node_name,
        ip=loaded.ip,
        failure_domain=loaded.zone,
        region=loaded.region,
        capacity=loaded.limits.cpu_quota * loaded.limits.cores,
        caller=loaded.listen.frontend,
        ready=loaded.listen.ready,
        directory=loaded.listen.directory,
        peer_port=first_port,
        tunnel_port=last_port if last_port != first_port else 0,
        key_bound=bounds.revoke_ms / 1000,
        keys_expire=bounds.revoke_fail_closed,
        stop_bound=bounds.grace_s * DRAIN_FRACTION,
        answer_ttl=min(ANSWER_TTL, bounds.ttl_max_s),
        order_hold=bounds.lease_ms / 1000,
        version_bound=bounds.version_ms / 1000,
        lease_ttl=max(LEASE_TTL, loaded.platform.ttl_min_ms / 1000),
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window=bounds.budget_window_s,
        rate_tolerance=buckets.Tolerance(
            bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack
        ),
        metrics_port=environment.metrics_port,
        enabled_features=environment.enabled_features,
        memory_mb=loaded.limits.memory_mb,
    )


async def run(path: str, mtime: int, loaded: settings.Settings, environment: Environment) -> None:
    """Serve until the drain is complete; `mtime` is that of the loaded settings file."""
    pool = connections.Pool([loaded.platform.address])
    adapter = router.Adapter(
        platform_dialect.Requests(),
        platform_dialect.Records(),
        platform_dialect.Directory(),
        platform_dialect.Engines(pool),
        store.Store(loaded.platform.address, pool),
        pool,
    )
    process = router.Router(
        build_options(loaded, environment), adapter, random.Random(), clocks.read_process_start()
    )
    loop = asyncio.get_running_loop()
    signal.signal(signal.SIGTERM, functools.partial(_handle_sigterm, loop, process))
    loop.add_signal_handler(signal.SIGINT, _handle_sigint, process)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, path, process, environment)
    watcher = asyncio.ensure_future(_watch_file(path, mtime, process, environment))
    await process.run()
    # The drain is complete: a late SIGTERM must not terminate the process with an error.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    watcher.cancel()


def _handle_sigterm(
    loop: asyncio.AbstractEventLoop, process: router.Router, number: int, frame: object
) -> None:
    """Begin to drain; runs before the next iteration of the event loop."""
    if not loop.is_closed():
        loop.call_soon_threadsafe(process.begin_stop, process.loop_checked_at)


def _handle_sigint(process: router.Router) -> None:
    """Begin to drain at the first Ctrl+C, and stop immediately at the second."""
    if process.stopping:
        process.force_stop()
    else:
        process.begin_stop()


async def _watch_file(
    path: str, seen: int, process: router.Router, environment: Environment
) -> None:
    while True:
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL)
        mtime = _read_mtime(path)
        if mtime != seen:
            seen = mtime
            _reload_settings(path, process, environment)


def _read_mtime(path: str) -> int:
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError:
        # The file may be in the middle of being replaced; the next check reads it again.
        return 0


def _reload_settings(path: str, process: router.Router, environment: Environment) -> None:
    try:
        process.reload(build_options(settings.load_settings(path), environment))
    except exceptions.FindingsError as error:
        for finding in error.findings:
            log.error('settings reload failed', extra={'finding': str(finding)})


def main() -> None:
    """Run the router; exit with status 2 if the settings are invalid."""
    path = os.environ.get(names.SETTINGS_VARIABLE, '/etc/passpier/settings.toml')
    try:
        environment = read_environment(os.environ)
        # Taken before the file is read, so that every later change is detected.
        mtime = _read_mtime(path)
        loaded = settings.load_settings(path)
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(f'passpier: {finding}', file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs.configure_logging(environment.level, 'json', loaded.node_name, sys.stdout)
    tasks.run_process(run(path, mtime, loaded, environment))
