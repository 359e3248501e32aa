/** All that is drawn before a run begins: arrivals, traits, picks. The same file and seed draw the same. */
package barleyfall.lab.plan;
