/** The result of a run: figures, checked expectations, the HTML report, and comparisons of results. */
package barleyfall.lab.result;
