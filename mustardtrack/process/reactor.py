"""Installation of the asyncio reactor."""

import asyncio
import sys

from twisted.internet import asyncioreactor


def install_reactor() -> None:
    """Install Twisted's asyncio reactor on a new event loop, once per process.

    Call it before the first import of ``twisted.internet.reactor``.
    """
    if "twisted.internet.reactor" in sys.modules:
        return
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
