"""Bench cases, one module each, selected by the name of the module.

A case is ``async def run(seed: int, long: bool) -> CaseResult``. It builds a plan
(``plans``), starts it (``fleets.run_fleet``), sends seeded traffic (``callers``) and
returns metrics with targets (``results``). It ends within 60 s unless ``long``.
Targets come from the stated requirement, never from measurements. ``smoke`` is the
shortest example.
"""
