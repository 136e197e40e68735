"""Stand-in for the platform's list of live and leaving VMs, which is updated with a lag."""

from __future__ import annotations

import asyncio

from passpier.standins import common


class List(common.Handler):
    """Returns and changes the list; a change takes effect after the lag."""

    vms: dict[str, str]

    def get(self) -> None:
        """Answer with the state of each VM."""
        self.write({'vms': self.vms})

    async def post(self) -> None:
        """Set the states of VMs after the lag."""
        lag = float(self.faults.options.get('lag', 0.0))
        asyncio.get_running_loop().call_later(lag, self.vms.update, self.get_body())
        self.write({})


def main() -> None:
    """Run the stand-in."""
    arguments = common.build_parser('standin-vms').parse_args()
    faults = common.Faults()
    vms: dict[str, str] = {}
    routes = [('/vms', List, {'faults': faults, 'vms': vms})]
    asyncio.run(common.serve(routes, faults, arguments.port, arguments.ip))


if __name__ == '__main__':
    main()
