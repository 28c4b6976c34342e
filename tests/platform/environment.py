"""An event loop for each scenario; cleanup functions run at the scenario's end."""

import asyncio


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.cleanups = []


def after_scenario(context, scenario):
    async def run_cleanups():
        for cleanup in context.cleanups:
            cleanup()

    context.loop.run_until_complete(run_cleanups())
    context.loop.close()
