"""Entry point of the `passpier` command: parses arguments, calls a daemon, sets the exit code."""

from __future__ import annotations

import os
import sys
import uuid
from collections.abc import Callable
from typing import Any

import fire

from passpier import __version__, exceptions
from passpier.clients import rpc
from passpier.commands import output, traces
from passpier.config import loader, schema
from passpier.utils import differences

EXIT_INVALID = 1
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_REFUSED = 5
EXIT_BEHIND = 6

BOOLEAN_FLAGS = frozenset({'--json', '--wait'})
CONFLICT_CODE = 2
WAIT_SECONDS = 10.0
CALL_TIMEOUT = 20.0


class Commands:
    """Operate a fleet of passpier daemons.

    Flags of every command: --daemon IP:PORT (operators port of any daemon, or
    PASSPIER_DAEMON), --secret (or PASSPIER_OPERATOR_SECRET), --json.
    """

    def __init__(self, daemon: str = '', secret: str = '', json: bool = False) -> None:
        self._daemon = daemon or os.environ.get('PASSPIER_DAEMON', '127.0.0.1:8081')
        self._secret = str(secret) or os.environ.get('PASSPIER_OPERATOR_SECRET', '')
        self._json = json

    def validate(self, file: str) -> None:
        """Check a schema file and list everything that is wrong with it."""
        fleet = loader.load_file(file)
        self._show({'valid': True, 'fleet': fleet.fleet}, f'{file}: valid')

    def schema(self) -> None:
        """Print the JSON Schema of schema files."""
        output.print_json(schema.Fleet.model_json_schema())

    def plan(self, file: str) -> None:
        """Show what applying a schema file would change."""
        fleet = loader.load_file(file)
        current = self._call('show')
        changes = differences.compare(current['document'] or {}, fleet.model_dump(mode='json'))
        text = '\n'.join(str(c) for c in changes) or 'no changes'
        self._show({'revision': current['revision'], 'changes': [str(c) for c in changes]}, text)

    def apply(self, file: str, base_revision: int = -1, wait: bool = False) -> None:
        """Put a schema file in force; --wait until every live daemon has it."""
        fleet = loader.load_file(file)
        base = base_revision if base_revision >= 0 else self._call('show')['revision']
        document = fleet.model_dump(mode='json')
        nonce = uuid.uuid4().hex
        accepted = self._call('apply', document=document, base=base, nonce=nonce)
        revision = accepted['revision']
        behind = []
        if wait:
            behind = self._call('wait', revision=revision, timeout=WAIT_SECONDS)['behind']
        text = f'revision {revision} accepted'
        if wait:
            text += f', not yet at: {", ".join(behind)}' if behind else ' and in force everywhere'
        self._show({'revision': revision, 'behind': behind}, text)
        if behind:
            sys.exit(EXIT_BEHIND)

    def show(self) -> None:
        """Show the configuration in force."""
        current = self._call('show')
        self._show(current, output.render_yaml(current))

    def status(self) -> None:
        """Show daemons and upstreams."""
        status = self._call('status')
        self._show(status, output.render_status(status))

    def entries(self, account: str) -> None:
        """Show the addresses that an account should use."""
        ranked = self._call('entries', account=account)
        lines = [f'{e["address"]}  {e["failure_domain"]}  {e["incarnation"]}' for e in ranked]
        self._show(ranked, '\n'.join(lines))

    def explain(self, request: str, logs: str = '') -> None:
        """Show why a request went where it went: from a daemon, or from log files (a pattern)."""
        if logs:
            lines = traces.read_lines([logs], str(request))
            self._show(lines, traces.render(lines) or f'no line about {request}')
            return
        decisions = self._call('explain', request=str(request))
        self._show(decisions, '\n'.join(output.render_decision(d) for d in decisions))

    def drain(self, daemon_name: str) -> None:
        """Have a daemon stop as planned."""
        result = self._call('drain', name=daemon_name)
        self._show(result, f'{daemon_name} is draining')

    def version(self) -> None:
        """Print the version."""
        self._show({'version': __version__}, __version__)

    def _call(self, method: str, **parameters: Any) -> Any:
        return rpc.call(self._daemon, self._secret, method, parameters, CALL_TIMEOUT)

    def _show(self, data: Any, text: str) -> None:
        if self._json:
            output.print_json(data)
        else:
            print(text)


def main() -> None:
    """Run the command line."""
    # Without an explicit value, `fire` would take the next argument as the value of the flag.
    arguments = [f'{a}=True' if a in BOOLEAN_FLAGS else a for a in sys.argv[1:]]
    sys.exit(run_and_report(lambda: fire.Fire(Commands, arguments, name='passpier')))


def run_and_report(command: Callable[[], Any]) -> int:
    """Run a command and return its exit code; print each error as a line on standard error."""
    try:
        command()
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_INVALID
    except rpc.UnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_UNREACHABLE
    except rpc.RpcError as error:
        print(error, file=sys.stderr)
        return EXIT_CONFLICT if error.code == CONFLICT_CODE else EXIT_REFUSED
    return 0


if __name__ == '__main__':
    main()
