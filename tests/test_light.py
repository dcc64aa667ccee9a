"""The platform's path stays as light as it was: nothing but the standard library and h11."""

from __future__ import annotations

import subprocess
import sys

OURS = """
import sys
before = set(sys.modules)
import locktide.__main__
found = {name.partition('.')[0] for name in set(sys.modules) - before}
print(*sorted(name for name in found if name not in sys.stdlib_module_names))
"""


def test_the_run_path_imports_the_standard_library_and_h11_alone() -> None:
    asked = subprocess.run(
        [sys.executable, "-I", "-c", f"import sys; sys.path.insert(0, '.')\n{OURS}"],
        capture_output=True,
        text=True,
        check=True,
    )
    # typing_extensions and the like would show here too
    assert set(asked.stdout.split()) == {"locktide", "h11"}


def test_parts_that_are_off_are_not_loaded() -> None:
    asked = subprocess.run(
        [sys.executable, "-c", "import sys, locktide.__main__; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(asked.stdout.split())
    parts = {name for name in loaded if name.startswith("locktide.")}
    assert {name.split(".")[1] for name in parts} <= {
        "__main__",
        "config",
        "dispatcher",
        "errors",
        "scheduler",
        "transport",
        "protocol",
    }
    assert "locktide.config.toml_reader" not in loaded and "locktide.config.installation" not in loaded


def test_serving_by_a_file_loads_nothing_of_rehearsals() -> None:
    asked = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, locktide.cli.serve, locktide.durable.bootstrap; print(*sys.modules)",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in asked.stdout.split()}
    assert not loaded & {"numpy", "matplotlib", "hdrh"}
    parts = {".".join(name.split(".")[:2]) for name in asked.stdout.split()}
    assert not parts & {"locktide.simulation"}
