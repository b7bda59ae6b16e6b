# Sourced by the other scripts. `prepare_environment EXTRA` installs the package with an extra of
# pyproject.toml ("lab" or "dev") in .venv, on first use and after each change of pyproject.toml.
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
