# Sourced by the other scripts: makes .venv from the declared dependencies on first use, and again when they change.
# Usage: prepare_environment EXTRA, an extra of pyproject.toml ("lab" or "dev").
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

prepare_environment() {
    local extra="$1"
    local marker="$root/.venv/.installed-$extra"
    if [ -e "$marker" ] && [ ! "$root/pyproject.toml" -nt "$marker" ]; then
        return
    fi
    test -x "$root/.venv/bin/python" || python3 -m venv "$root/.venv"
    (cd "$root" && .venv/bin/python -m pip install -q --disable-pip-version-check -e ".[$extra]") >&2
    touch "$marker"
}
