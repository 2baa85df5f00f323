"""Checks import order, sizes of modules, and the imports of each role."""

import ast
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# A folder may import from itself and from the folders before it.
IMPORT_ORDER = ("common", "request", "version", "connection", "process")
MAX_MODULES_PER_FOLDER = 12
MAX_LINES_PER_MODULE = 400
# Libraries of the command line, the operators' tools and the load on stand-ins,
# which importing a role must not load.
TOOL_LIBRARIES = ("cyclopts", "rich", "prompt_toolkit", "lark")


def iter_modules():
    """Yield the path and top-level folder of each module outside the tests."""
    for path in sorted(ROOT.rglob("*.py")):
        relative_path = path.relative_to(ROOT)
        if "tests" not in relative_path.parts and len(relative_path.parts) > 1:
            yield path, relative_path.parts[0]


def imported_folders(path):
    """Yield the top-level folders that a module imports from."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
            if node.module == "berylspool":
                names = [f"berylspool.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "berylspool" and len(parts) > 1:
                yield parts[1]


def test_no_folder_imports_from_a_later_one():
    violations = []
    for path, folder in iter_modules():
        if folder not in IMPORT_ORDER:
            continue
        allowed = {
            *IMPORT_ORDER[: IMPORT_ORDER.index(folder) + 1],
            "exception",
            "release",
        }
        violations += [
            f"{path.relative_to(ROOT)} imports {other}"
            for other in imported_folders(path)
            if other not in allowed
        ]
    assert not violations


def test_platform_imports_no_tool():
    violations = [
        str(path.relative_to(ROOT))
        for path, folder in iter_modules()
        if folder == "platform" and "tool" in set(imported_folders(path))
    ]
    assert not violations


def test_folders_and_modules_stay_within_size_limits():
    modules_by_folder = {}
    for path, _ in iter_modules():
        if path.name != "__init__.py":
            modules_by_folder.setdefault(path.parent, []).append(path)
    large_folders = [
        f"{folder.relative_to(ROOT)}: {len(paths)} modules"
        for folder, paths in modules_by_folder.items()
        if len(paths) > MAX_MODULES_PER_FOLDER
    ]
    long_modules = [
        f"{path.relative_to(ROOT)}: {count} lines"
        for path, _ in iter_modules()
        if (count := len(path.read_text().splitlines())) > MAX_LINES_PER_MODULE
    ]
    assert not large_folders
    assert not long_modules


@pytest.mark.parametrize(
    "module",
    [
        "berylspool.process.entry.forwarding.forwarder",
        "berylspool.process.entry.role",
        "berylspool.process.control.role",
    ],
)
def test_role_loads_no_tool(module):
    code = (
        f"import sys, {module}\n"
        f"print([n for n in {TOOL_LIBRARIES!r} if n in sys.modules]"
        " + [n for n in sys.modules if n.startswith('berylspool.tool')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
