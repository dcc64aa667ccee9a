"""What an entry point imports: `python -m locktide` only the standard library and h11."""

from __future__ import annotations

import subprocess
import sys

PRINT_IMPORTED_PACKAGES = """
import sys
before = set(sys.modules)
import locktide.__main__
imported = {name.partition('.')[0] for name in set(sys.modules) - before}
print(*sorted(name for name in imported if name not in sys.stdlib_module_names))
"""


def test_the_run_path_imports_the_standard_library_and_h11_alone() -> None:
    process = subprocess.run(
        [sys.executable, "-I", "-c", f"import sys; sys.path.insert(0, '.')\n{PRINT_IMPORTED_PACKAGES}"],
        capture_output=True,
        text=True,
        check=True,
    )
    # Indirect imports, such as typing_extensions, would also be in the output.
    assert set(process.stdout.split()) == {"locktide", "h11"}


def test_packages_of_features_that_are_off_are_not_loaded() -> None:
    process = subprocess.run(
        [sys.executable, "-c", "import sys, locktide.__main__; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(process.stdout.split())
    packages = {name for name in loaded if name.startswith("locktide.")}
    assert {name.split(".")[1] for name in packages} <= {
        "__main__",
        "config",
        "dispatcher",
        "errors",
        "scheduler",
        "transport",
        "protocol",
    }
    assert "locktide.config.toml_reader" not in loaded and "locktide.config.installation" not in loaded


def test_serve_command_does_not_load_the_simulation() -> None:
    process = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, locktide.cli.serve, locktide.durable.bootstrap; print(*sys.modules)",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in process.stdout.split()}
    assert not loaded & {"numpy", "matplotlib", "hdrh"}
    packages = {".".join(name.split(".")[:2]) for name in process.stdout.split()}
    assert not packages & {"locktide.simulation"}
