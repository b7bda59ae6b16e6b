"""`python -m lichenquay.cli`: the same as the command `lichenquay`."""

from lichenquay.cli.main import main

main()
