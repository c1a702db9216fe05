"""Generates msgspec classes from the JSON schemas; --check only compares them."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BASE_CLASS_BY_PACKAGE = {
    "settings": "Model",
    "proxy": "Model",
    "model": "Model",
    "profiles": "Model",
    "config": "Change",
    "messages": "Message",
}
HEADER = '"""Generated from schema.json by tools/generate.py; do not edit."""'
OPTIONS = [
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--target-python-version=3.11",
    "--use-schema-description",
    "--disable-timestamp",
    "--use-standard-collections",
    "--use-union-operator",
    "--field-constraints",
    "--enum-field-as-literal=all",
    "--keyword-only",
    "--use-default",
    "--disable-future-imports",
    "--formatters=black",
    f"--custom-file-header={HEADER}",
]


def mark_defaults_required(schema: dict) -> dict:
    """Lists properties with defaults as required, so that no field can be unset."""
    for definition in [schema, *schema.get("definitions", {}).values()]:
        properties = definition.get("properties", {})
        defaulted = [name for name, spec in properties.items() if "default" in spec]
        if defaulted:
            definition["required"] = [*definition.get("required", []), *defaulted]
    return schema


def generate(package: str, output: Path) -> None:
    """Writes the classes of a package's schema to the output file."""
    schema_path = ROOT / "src" / "jayswitch" / package / "schema.json"
    schema = mark_defaults_required(json.loads(schema_path.read_text()))
    with tempfile.NamedTemporaryFile("w", suffix=".json") as prepared:
        json.dump(schema, prepared)
        prepared.flush()
        base = f"--base-class=jayswitch.models.{BASE_CLASS_BY_PACKAGE[package]}"
        command = [sys.executable, "-m", "datamodel_code_generator"]
        inputs = [f"--input={prepared.name}", f"--output={output}"]
        subprocess.run([*command, *inputs, base, *OPTIONS], check=True)
    for tool in (["isort", "-q", "--settings-path"], ["black", "-q", "--config"]):
        configured = [*tool, str(ROOT / "pyproject.toml"), str(output)]
        subprocess.run([sys.executable, "-m", *configured], check=True)


def main() -> int:
    """Returns 1 if --check finds generated code that differs from its schema."""
    check = "--check" in sys.argv[1:]
    outdated = []
    for package in BASE_CLASS_BY_PACKAGE:
        target = ROOT / "src" / "jayswitch" / package / "generated.py"
        if not check:
            generate(package, target)
            continue
        with tempfile.TemporaryDirectory() as folder:
            regenerated = Path(folder) / "generated.py"
            generate(package, regenerated)
            if regenerated.read_text() != target.read_text():
                outdated.append(target.relative_to(ROOT))
    for path in outdated:
        print(f"{path} differs from its schema; run python tools/generate.py")
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main())
