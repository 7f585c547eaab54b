"""The deployment ``padron-abierto-mvd``: settings as in its pages."""

from __future__ import annotations

from dataclasses import replace

from review.standins.rig import Deployment

PADRON = Deployment(
    zones=["sala-prado"],
    locations=["sala-prado", "sala-prado", "sala-prado"],
    workers={"report_s": 3.0, "lease_s": 36.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 56.0},
    state={"rps": 80.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
    cloud={"rps": 3.0, "list_lag_s": 3.0},
    teams=[{"name": "agrimensura", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    objectives=[
        {"kind": "wait", "class": "mosaico", "within_s": 18.0, "share": 0.9},
        {"kind": "wait", "class": "mosaico", "within_s": 150.0, "share": 0.97},
        {"kind": "finished", "class": "mosaico", "within_s": 300.0, "share": 0.97},
        {"kind": "finished", "class": "ortofoto", "within_s": 200.0, "share": 0.88},
        {"kind": "finished", "class": "ortofoto", "within_s": 300.0, "share": 0.95},
    ],
    resources={"cpu": 0.5, "ram_mb": 146.0, "fd_limit": 700},
    flavors=[
        {
            "sku": "chacra",
            "vcpus": 32.0,
            "accelerators": 0.0,
            "memoryGb": 128.0,
            "localGb": 100.0,
            "fetchGbPerS": 1.0,
            "rate": 1.92,
            "spotPrice": 0.84,
            "startupS": 40.0,
            "plots": ["sala-prado"],
        },
    ],
)

# The same as ``padron-abierto-mvd-fleet``, with fewer machines.
PADRON_FLEET = replace(
    PADRON,
    workers={**PADRON.workers, "report_s": 5.0},
    state={"rps": 300.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 16},
    cloud={"rps": 6.0, "list_lag_s": 3.0},
    resources={"cpu": 1.26, "ram_mb": 476.0, "fd_limit": 2473},
)
