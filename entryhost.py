"""Start an entry host on the platform, from the repository's root."""

from dogwoodtack.platform.daemon import run

if __name__ == "__main__":
    run()
