import ast
from pathlib import Path

LIST_MODULES = (
    "import os, serve, sys\n"
    "for name, module in sorted(sys.modules.items()):\n"
    "    path = getattr(module, '__file__', None) or ''\n"
    "    if 'target/app' in path: print(name, os.path.abspath(path))\n"
)


def late_imports(path, package):
    """Return the imports of a file that run only when a function is called."""
    functions = (
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    found = set()
    for function in functions:
        for node in ast.walk(function):
            if isinstance(node, ast.Import):
                found |= {f"import {alias.name}" for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                parts = package.split(".")
                base = ".".join(parts[: len(parts) - node.level + 1])
                module = node.module or ""
                if node.level:
                    module = f"{base}.{module}".rstrip(".")
                names = ", ".join(alias.name for alias in node.names)
                found.add(f"from {module} import {names}")
    return found


class TestLateImports:
    def run_in_program(self, built_tree, script):
        """Run a script that may import the program, as the platform starts it."""
        prelude = "import sys\nsys.path.insert(0, 'target/app')\n"
        return built_tree.run(["python3", "-S", "-c", prelude + script])

    def test_all_can_be_imported_after_the_start(self, built_tree):
        """Guards against modules that the start leaves out and later ones need."""
        listed = self.run_in_program(built_tree, LIST_MODULES)
        imports = set()
        for line in listed.splitlines():
            name, path = line.split()
            package = name if path.endswith("__init__.py") else name.rpartition(".")[0]
            imports |= late_imports(Path(path), package)
        assert any("prometheus_client" in each for each in imports)
        script = "\n".join(["import serve", *sorted(imports)])
        self.run_in_program(built_tree, script)

    def test_a_start_opens_no_library_for_encryption(self, built_tree):
        """Guards against a built program that loads OpenSSL at its start."""
        script = "import serve\nprint('_ssl' in sys.modules, 'ssl' in sys.modules)"
        assert self.run_in_program(built_tree, script).split() == ["False", "False"]
