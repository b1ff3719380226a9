#!/bin/sh
# Checks the stand-ins of the cases; they need the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
