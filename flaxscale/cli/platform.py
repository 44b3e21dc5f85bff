"""flaxscale platform: one session manager on the operators' platform, configured by its environment."""

import asyncio
import signal

import click

from ..platform import config as configuration
from ..platform.descriptors import raise_limit
from ..platform.host import Host
from . import service, site_errors
from .logs import LEVELS, logger


@click.command()
@click.option("--log-level", default="info", type=click.Choice(list(LEVELS)), show_default=True)
def platform(log_level):
    """Serve as one session manager of the platform: BALANCER_CONFIG names its configuration."""
    early_signals = []  # without a handler, SIGHUP would end the process
    signal.signal(signal.SIGHUP, lambda number, frame: early_signals.append(number))
    file, config = site_errors(configuration.from_environment)
    raise_limit(config)
    log = logger(log_level, None, manager=config.name)

    async def main():
        host = Host(file, config, log)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, host.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, host.drain)
        if early_signals:
            host.reload()
        await host.start()
        service.tune_garbage_collection()
        log.info(
            "serves",
            listen="%s:%d" % config.listen,
            list=host.bulletin.last_number,
            prices=config.terms.prices._asdict(),
        )
        await host.done.wait()
        await host.stop()

    site_errors(lambda: service.run(main()))
