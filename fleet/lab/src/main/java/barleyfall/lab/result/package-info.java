/** What a run came to: figures, expectations, the page with the plots, two results side by side. */
package barleyfall.lab.result;
