/** Draws arrivals, machines and fault targets before a run; the same file and seed give the same plan. */
package barleyfall.lab.plan;
