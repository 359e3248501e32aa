// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The customers that a gateway keeps state of. Anyone may name customers, so their number is bounded: when
 * the table is full, those that are remembered for nothing make room. Where there are none, a connection that
 * has brought more than its share of the customers can bring no further ones, and others still can.
 */
final class CustomerTable {
    /** About 1 KB of heap each. */
    static final int MAX_CUSTOMERS = 8192;
    /** The same with those of connections that have brought less than their share. */
    static final int MAX_WITH_RESERVE = 2 * MAX_CUSTOMERS;
    /** Customers that are looked at to make room for one. */
    private static final int LOOKS_FOR_ROOM = 8;

    /** The customers by name, the one that has sent no request for longest first. */
    private final Map<String, Customer> customers = new LinkedHashMap<>(16, 0.75f, true);
    /** How many customers each connection has brought, of those that are here. */
    private final Map<Long, Integer> countBySource = new HashMap<>();
    /** Customers with recent arrivals, requests in flight or slots held. */
    private final Set<Customer> active = new LinkedHashSet<>();

    /** Returns the customer of this name, of whom a request has come; null where it is not known. */
    Customer find(String name) {
        return customers.get(name);
    }

    /** Makes room for one more customer; false where a connection can bring none now. */
    boolean makeRoom(long source, double nowMs) {
        if (customers.size() >= MAX_CUSTOMERS) {
            forgetSome(nowMs);
        }
        return customers.size() < MAX_CUSTOMERS
            || customers.size() < MAX_WITH_RESERVE && countOf(source) < shareOfSource(source);
    }

    private int countOf(long source) {
        return countBySource.getOrDefault(source, 0);
    }

    /** An equal share of the customers, over all connections that have brought some, and this one. */
    private int shareOfSource(long source) {
        int sourceCount = countBySource.size() + (countOf(source) == 0 ? 1 : 0);
        return MAX_CUSTOMERS / sourceCount;
    }

    /** Forgets those that may be forgotten of the few that are next; the others get a later turn again. */
    private void forgetSome(double nowMs) {
        List<Customer> next = new ArrayList<>(LOOKS_FOR_ROOM);
        for (Iterator<Customer> iterator = customers.values().iterator();
            iterator.hasNext() && next.size() < LOOKS_FOR_ROOM;) {
            next.add(iterator.next());
        }
        for (Customer customer : next) {
            if (customer.isForgettable(nowMs)) {
                customers.remove(customer.name);
                forgotten(customer);
            } else {
                customers.get(customer.name); // moves it to the end
            }
        }
    }

    private void forgotten(Customer customer) {
        active.remove(customer);
        countBySource.computeIfPresent(customer.source, (source, count) -> count == 1 ? null : count - 1);
    }

    /** Adds a customer for whom there is room. */
    void add(Customer customer) {
        customers.put(customer.name, customer);
        countBySource.merge(customer.source, 1, Integer::sum);
    }

    /** Notes that a customer has a request. */
    void markActive(Customer customer) {
        active.add(customer);
    }

    /** The active customers, to be walked and removed from these. */
    Iterator<Customer> active() {
        return active.iterator();
    }

    /** Forgets the customers that are not active and have sent no request since a time. */
    void forgetIdleSince(double timeMs) {
        for (Iterator<Customer> iterator = customers.values().iterator(); iterator.hasNext();) {
            Customer customer = iterator.next();
            if (!active.contains(customer) && !customer.inDispatchRing && customer.lastArrivalMs < timeMs) {
                iterator.remove();
                forgotten(customer);
            }
        }
    }

    /** Calls an action with each customer. */
    void forEach(Consumer<Customer> action) {
        customers.values().forEach(action);
    }

    /** How many customers are known. */
    int size() {
        return customers.size();
    }
}
