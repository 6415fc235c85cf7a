package ctrl

// Skew is skewOf.
var Skew = skewOf
