package ctrl

// ClockSkew exports clockSkew for tests.
var ClockSkew = clockSkew
