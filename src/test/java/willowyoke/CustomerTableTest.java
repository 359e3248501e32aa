package willowyoke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which customers are remembered when more are named than there is room for. */
class CustomerTableTest {
    private static final Gateway.Plan PLAN = new Gateway.Plan("p", 1, 10, 0, 1, 0, 1, 0, 0, 0);

    private final CustomerTable table = new CustomerTable();
    private int lastNumber;

    private Customer add(String name, long source) {
        Customer customer =
            new Customer(new Gateway.Request(1, "c", "p", name, 1000, 1, 1, 0, false, source), PLAN, 0);
        table.add(customer);
        return customer;
    }

    /** Adds customers of a connection that have just spent units, until there is no room for it. */
    private int addSpent(long source) {
        int added = 0;
        while (table.makeRoom(source, 0)) {
            add("n" + ++lastNumber, source).noteSpent(10, 0);
            added++;
        }
        return added;
    }

    /** The state of each name ever seen was kept, so that names alone filled the heap. */
    @Test void newNamesTakeThePlaceOfThoseThatSpentNothing() {
        for (int i = 0; i < 5 * CustomerTable.MAX_CUSTOMERS; i++) {
            assertTrue(table.makeRoom(1, i));
            table.markActive(add("n" + i, 1));
        }
        assertEquals(CustomerTable.MAX_CUSTOMERS, table.size());
        assertNull(table.find("n0"));
    }

    /** A customer that is forgotten before its quota is full again would get it twice. */
    @Test void customerIsRememberedUntilItsQuotaIsFullAgain() {
        Customer spender = add("spender", 1);
        spender.noteSpent(10, 0);
        assertFalse(spender.isForgettable(9_999));
        assertTrue(spender.isForgettable(10_000));
        spender.inFlight = 1;
        assertFalse(spender.isForgettable(10_000));
    }

    /** One connection that names customers without end would have those of all others refused. */
    @Test void connectionWithMostCustomersIsTheOneThatCanBringNoMore() {
        assertEquals(CustomerTable.MAX_CUSTOMERS, addSpent(1));
        for (long source = 2; source < 50; source++) {
            assertTrue(table.makeRoom(source, 0), "source " + source);
            add("honest" + source, source);
            assertNotNull(table.find("honest" + source));
        }
        assertFalse(table.makeRoom(1, 0));
    }

    /** Many connections together may not name customers without end either. */
    @Test void allConnectionsTogetherAreBounded() {
        for (long source = 1; source < 1000; source++) {
            addSpent(source);
        }
        assertTrue(table.size() <= CustomerTable.MAX_WITH_RESERVE, "size " + table.size());
        assertTrue(table.makeRoom(1000, 60_000), "there is room once the quotas are full again");
    }
}
