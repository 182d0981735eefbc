"""Fixed replays of steps that made the stateful partition test fail."""

from tests.core.test_partition_stateful import PartitionMachine


def test_owner_change_while_an_order_is_delayed():
    """Guards against the second use of an attempt number.

    While the job table is down, attempt 1 fails and the owner orders attempt 2
    on a worker. The owner changes before the record of attempt 2 is written,
    and the order is not yet delivered. The next owner only knows attempt 1, so
    it places the job on another worker under the number 2 again. The order of
    the first use may still reach its guard.

    Shortened from an example of TestPartition at f4b5f45, found with the seed
    (on two lines here)
    9518519143311118105316449641263026827417760307204917766851
    062905665829385879719816963400370897777223940529059847768
    """
    machine = PartitionMachine()
    machine.begin(guarantees=[], first=[{'accelerators': 2}])
    machine.change_delay(is_delayed=True)
    machine.change_table(is_down=True)
    machine.end_member(number=0, succeeds=False)
    machine.deliver_event(number=0, twice=False)
    # The guard with the delayed order learns the new fence and refuses it.
    machine.change_owner(is_known=True, reporting={'w1'})
    machine.teardown()
