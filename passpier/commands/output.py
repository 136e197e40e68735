"""Output of the command line, as text or JSON."""

from __future__ import annotations

import json
from typing import Any

import yaml


def print_json(data: Any) -> None:
    """Print data as JSON."""
    print(json.dumps(data, indent=2))


def render_yaml(data: Any) -> str:
    """Return data as YAML and keep the order of its keys."""
    return yaml.safe_dump(data, sort_keys=False).rstrip()


def render_status(status: dict[str, Any]) -> str:
    """Return a fleet's status as a table."""
    store = 'available' if status['store_available'] else 'unavailable'
    lines = [f'{status["daemon"]}: revision {status["revision"]}, store {store}', 'daemons:']
    for daemon in status['daemons']:
        state = 'leaving' if daemon['leaving'] else 'alive' if daemon['alive'] else 'silent'
        lines.append(
            f'  {daemon["name"]:<16} {daemon["entry"]:<22} {daemon["failure_domain"]:<12} '
            f'{state:<8} revision {daemon["revision"]}'
        )
    lines.append('upstreams:')
    for upstream in status['upstreams']:
        state = 'ejected' if upstream['ejected'] else 'serving'
        if upstream['leaving']:
            state = f'leaving ({", ".join(upstream["leaving"])})'
        lines.append(
            f'  {upstream["name"]:<16} {upstream["address"]:<22} '
            f'{upstream["failure_domain"]:<12} {state} {upstream["weight_version"]}'
        )
    return '\n'.join(lines)


def render_decision(decision: dict[str, Any]) -> str:
    """Return a routing decision and its candidates as text."""
    if 'chosen' not in decision:
        return f'refused: {decision["reason"]} ({decision["outcome"]}): {decision["detail"]}'
    lines = [
        f'{decision["attempt"]}: {decision["chosen"]} by {decision["policy"]} '
        f'({decision["reason"]}), {decision["prompt_tokens"]} prompt tokens, '
        f'waited {decision["waited"]} s'
    ]
    for candidate in decision['candidates']:
        mark = '*' if candidate['upstream'] == decision['chosen'] else ' '
        lines.append(
            f'  {mark} {candidate["upstream"]:<14} matched {candidate["matched_tokens"]:>6} '
            f'({candidate["confidence"]:.2f})  wait {candidate["wait"]:.4f}  '
            f'prefill {candidate["prefill"]:.4f}  recompute {candidate["recompute"]:.4f}  '
            f'crowding {candidate["crowding"]:.4f}'
        )
    return '\n'.join(lines)
