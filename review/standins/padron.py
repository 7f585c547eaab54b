"""The deployment ``padron-abierto-mvd`` as its fleet and hunt files give it, with fewer machines."""

from __future__ import annotations

from review.standins.rig import Deployment

PADRON_FLEET = Deployment(
    zones=["sala-prado"],
    locations=["sala-prado", "sala-prado", "sala-prado"],
    workers={"report_s": 5.0, "lease_s": 36.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 56.0},
    state={"rps": 300.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 16},
    cloud={"rps": 6.0, "list_lag_s": 3.0},
    teams=[{"name": "agrimensura", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    objectives=[
        {"kind": "wait", "class": "mosaico", "within_s": 40.0, "share": 0.82},
        {"kind": "wait", "class": "mosaico", "within_s": 250.0, "share": 0.992},
        {"kind": "finished", "class": "mosaico", "within_s": 300.0, "share": 0.97},
        {"kind": "wait", "class": "ortofoto", "within_s": 200.0, "share": 0.99},
        {"kind": "wait", "class": "ortofoto", "within_s": 300.0, "share": 0.99},
        {"kind": "finished", "class": "ortofoto", "within_s": 400.0, "share": 0.99},
    ],
    resources={"cpu": 1.26, "ram_mb": 476.0, "fd_limit": 2473},
    flavors=[
        {
            "sku": "chacra",
            "vcpus": 32.0,
            "accelerators": 0.0,
            "memoryGb": 128.0,
            "localGb": 70.0,
            "fetchGbPerS": 0.6,
            "rate": 1.92,
            "spotPrice": 0.84,
            "startupS": 40.0,
            "plots": ["sala-prado"],
        },
    ],
)
