"""Entry point of `python -m lichenquay.cli`, equivalent to the command `lichenquay`."""

from lichenquay.cli.main import main

main()
