package willowyoke.net;

import willowyoke.MemoryPolicy.Use;

/**
 * What a client's connection holds in memory, by its uses.
 *
 * @param account the account of the connection
 * @param partialCommand a command that is read in part
 * @param requests open requests
 * @param waitingAnswers whole answers that are not written
 * @param longValues parts of long values that are not written
 * @param unsentOutput output that the client has not taken
 */
record ClientMemory(MemoryAccount account, MemoryAccount.Part partialCommand, MemoryAccount.Part requests,
    MemoryAccount.Part waitingAnswers, MemoryAccount.Part longValues, MemoryAccount.Part unsentOutput) {

    /** Opens an account with all these uses. */
    static ClientMemory open(MemoryBudget budget, MemoryAccount.Holder holder) {
        MemoryAccount account = budget.openAccount(holder);
        return new ClientMemory(account, account.part(Use.PARTIAL_COMMAND), account.part(Use.REQUEST),
            account.part(Use.WAITING_ANSWER), account.part(Use.LONG_VALUE), account.part(Use.UNSENT_OUTPUT));
    }
}
