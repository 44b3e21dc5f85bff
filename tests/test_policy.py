"""The files under `policy` only make decisions: no I/O, clock, wire or global state, and no import cycles."""

import ast
import pathlib
import tomllib
import unittest

ROOT = pathlib.Path(__file__).parents[1]
STDLIB_WITHOUT_IO = {"collections", "dataclasses", "enum", "heapq", "math", "typing", "zlib"}  # of the standard library
CORE = {"flaxscale.interface", "flaxscale.units"}


def policy():
    return [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def module_of(path):
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def imports_of(path):
    """The modules that a file imports, by their full names."""
    parts = module_of(path).split(".")
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = parts[: len(parts) - node.level] if node.level else []
            name = ".".join([*base, *([node.module] if node.module else [])])
            if node.module:
                yield name
            else:
                yield from (f"{name}.{alias.name}" for alias in node.names)


class Policy(unittest.TestCase):
    def test_every_decision_module_is_listed(self):
        listed = {path.name for path in policy()}
        present = {path.name for path in (ROOT / "flaxscale/decisions").glob("*.py")} - {"__init__.py"}
        self.assertEqual(present | {"decide.py"}, listed)

    def test_modules_import_only_stdlib_without_io_the_core_and_each_other(self):
        own = {module_of(path) for path in policy()}
        for path in policy():
            for name in imports_of(path):
                known = name.split(".")[0] in STDLIB_WITHOUT_IO or name in CORE or name in own
                self.assertTrue(known, f"{path.name} imports {name}")

    def test_core_modules_import_nothing_of_the_program(self):
        for name in CORE:
            path = ROOT / (name.replace(".", "/") + ".py")
            self.assertEqual([], [found for found in imports_of(path) if found not in STDLIB_WITHOUT_IO], name)

    def test_imports_have_no_cycle(self):
        graph = {module_of(path): set(imports_of(path)) for path in policy()}
        while graph:
            leaves = [name for name, imported in graph.items() if not imported & graph.keys()]
            self.assertTrue(leaves, f"a cycle among {sorted(graph)}")
            for name in leaves:
                del graph[name]

    def test_modules_call_no_io_builtins(self):
        for path in policy():
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
                    self.assertNotIn(node.func.id, {"open", "print", "input", "exec", "eval", "__import__"}, path.name)

    def test_modules_hold_no_global_state(self):
        for path in policy():
            for node in ast.walk(ast.parse(path.read_text())):
                self.assertNotIsInstance(node, ast.Global, path.name)


if __name__ == "__main__":
    unittest.main()
