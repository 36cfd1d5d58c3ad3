rules {
  based_on = 0
}
