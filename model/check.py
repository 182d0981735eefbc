"""Runs the model checker; the specification is not written yet."""

__all__ = ('main',)


def main() -> None:
    """Report that there is nothing to check."""
    print('model check: no specification yet')


if __name__ == '__main__':
    main()
