from lichenquay.cli.main import main

main()
