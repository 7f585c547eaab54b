"""Import rules: packages import only lower layers, and a controller node loads only the code that it runs."""

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
LAYERS = ["domain", "scheduling", "state", "failure_detection", "shard", "leader", "protocol", "transport"]
LAYERS += [
    "controller",
    "jobs",
    "archive",
    "client",
    "federation",
    "history",
    "worker",
    "emulator",
    "local",
    "cli",
]


def test_controller_node_imports_only_the_packages_that_it_runs():
    code = (
        "import sys, pearstep.cli.node, pearstep.controller.controller\n"
        "print(' '.join(sorted(m for m in sys.modules if m.startswith('pearstep.') or '.' not in m)))"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    loaded = set(output.split())
    packages = {m.split(".")[1] for m in loaded if m.startswith("pearstep.")}
    assert packages == {
        "cli",
        "controller",
        "domain",
        "failure_detection",
        "leader",
        "protocol",
        "scheduling",
        "shard",
        "state",
        "transport",
    }
    assert not loaded & {
        "structlog",
        "prometheus_client",
        "zstandard",
        "xxhash",
        "sqlite3",
        "sortedcontainers",
    }
    assert "pearstep.protocol.agent_messages" not in loaded
    assert "pearstep.protocol.emulator_messages" not in loaded


def imported_packages(file: Path) -> set[str]:
    """Return the packages of pearstep that a module imports, at its top or inside functions."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{file}: imports are absolute"
            modules = [f"{node.module}.{name.name}" for name in node.names]
        elif isinstance(node, ast.Import):
            modules = [name.name for name in node.names]
        else:
            continue
        found |= {module.split(".")[1] for module in modules if module.startswith("pearstep.")}
    return found


def test_packages_import_only_lower_layers():
    violations = []
    for file in (ROOT / "pearstep").rglob("*.py"):
        parts = file.relative_to(ROOT / "pearstep").parts
        if len(parts) < 2:
            continue
        assert parts[0] in LAYERS, f"{parts[0]} has no place in the order"
        for target in imported_packages(file):
            if target in LAYERS and LAYERS.index(target) > LAYERS.index(parts[0]):
                violations.append(f"{'/'.join(parts)}: {target}")
    # For example, messages use the domain's types, and the domain uses no messages.
    assert violations == []
