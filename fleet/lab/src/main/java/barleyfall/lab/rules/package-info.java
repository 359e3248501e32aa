/**
 * The rules, checked on what the stand-ins saw. Nothing here knows the program, reads its log or asks it;
 * what the rules are stands in the operators' protocol.
 */
package barleyfall.lab.rules;
