"""The deployment ``relevamiento-forestal``, small: settings as in its pages, a few machines."""

from __future__ import annotations

from review.standins.rig import Deployment

FORESTAL = Deployment(
    zones=["tacuarembo", "rivera", "paysandu", "rocha"],
    locations=["tacuarembo", "rivera", "paysandu"],
    workers={"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": 35.0},
    state={"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    cloud={"rps": 4.0, "list_lag_s": 5.0},
    teams=[
        {"name": f"equipo-montes-{number}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 15.0, "gpus_max": 50.0}
        for number in range(1, 11)
    ],
    objectives=[
        {"kind": "wait", "class": "portal-rodales", "within_s": 2.0, "share": 0.93},
        {"kind": "wait", "class": "nube-lidar", "within_s": 50.0, "share": 0.78},
        {"kind": "finished", "class": "nube-lidar", "within_s": 400.0, "share": 0.92},
        {"kind": "guarantee", "within_s": 30.0, "share": 0.85},
    ],
    resources={"cpu": 0.75, "ram_mb": 146.0, "fd_limit": 500},
    flavors=[
        {
            "sku": "tala",
            "vcpus": 8.0,
            "accelerators": 0.0,
            "memoryGb": 64.0,
            "localGb": 70.0,
            "fetchGbPerS": 1.0,
            "rate": 0.37,
            "spotPrice": 0.15,
            "startupS": 35.0,
            "plots": ["tacuarembo", "rivera", "paysandu", "rocha"],
        },
        {
            "sku": "ombu",
            "vcpus": 16.0,
            "accelerators": 2.0,
            "memoryGb": 64.0,
            "localGb": 80.0,
            "fetchGbPerS": 0.4,
            "rate": 6.9,
            "spotPrice": 2.76,
            "startupS": 45.0,
            "plots": ["tacuarembo", "rivera", "paysandu"],
        },
        {
            "sku": "quebracho",
            "vcpus": 48.0,
            "accelerators": 4.0,
            "memoryGb": 384.0,
            "localGb": 150.0,
            "fetchGbPerS": 0.25,
            "rate": 11.75,
            "spotPrice": 4.94,
            "startupS": 30.0,
            "plots": ["tacuarembo", "rivera", "paysandu", "rocha"],
        },
    ],
    skew_ms=1000.0,
)
